// Package keyring reads the certificates, keys and passwords that a process's
// settings name. Their contents are never logged.
package keyring

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/host/settings"
)

// Keyring holds what was read. It is immutable.
type Keyring struct {
	// CallerTLS is the configuration for callers; nil without TLS.
	CallerTLS *tls.Config
	// SiblingTLS is the configuration for both sides between proxies; nil
	// without TLS.
	SiblingTLS *tls.Config
	// EndpointPassword is shown to endpoints; may be empty.
	EndpointPassword string
	// OperatorToken is what operators show; never empty.
	OperatorToken string
}

// Read reads the files that the settings name.
func Read(s settings.Settings) (Keyring, error) {
	var k Keyring
	var err error
	if k.OperatorToken, err = secret(s.Operators.TokenFile); err != nil {
		return k, err
	}
	if k.OperatorToken == "" {
		return k, errors.Errorf("%s is empty", s.Operators.TokenFile)
	}
	if s.Endpoints.PasswordFile != "" {
		if k.EndpointPassword, err = secret(s.Endpoints.PasswordFile); err != nil {
			return k, err
		}
	}
	if s.Keys.CallerCertificateFile != "" {
		if k.CallerTLS, err = callers(s.Keys); err != nil {
			return k, err
		}
	}
	if s.Keys.SiblingCertificateFile != "" {
		if k.SiblingTLS, err = siblings(s.Keys); err != nil {
			return k, err
		}
	}
	return k, nil
}

// secret reads the text of a file without the white space around it.
func secret(file string) (string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", errors.WithStack(err)
	}
	return strings.TrimSpace(string(text)), nil
}

// callers returns the configuration that is shown to callers.
func callers(k settings.Keys) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(k.CallerCertificateFile, k.CallerKeyFile)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}, nil
}

// siblingName is the name that the certificates of proxies carry.
const siblingName = "eelgrassladder-proxy"

// siblings returns the configuration for mutual TLS between proxies. Every
// certificate must carry the proxies' name and the authority's signature.
func siblings(k settings.Keys) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(k.SiblingCertificateFile, k.SiblingKeyFile)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	text, err := os.ReadFile(k.SiblingAuthorityFile)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Errorf("%s holds no certificate", k.SiblingAuthorityFile)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   siblingName,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
