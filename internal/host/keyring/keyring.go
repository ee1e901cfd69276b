// Package keyring reads the files with certificates, keys, passwords and tokens
// that the settings of a process name. Their contents are never logged.
package keyring

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/host/settings"
)

// Keyring holds the secrets and TLS configurations of a process. It is
// immutable.
type Keyring struct {
	// CallerTLS is the TLS configuration of the servers for callers; nil for no
	// TLS.
	CallerTLS *tls.Config
	// SiblingTLS is the TLS configuration between proxies, for both server and
	// client; nil for no TLS.
	SiblingTLS *tls.Config
	// EndpointPassword is the password at endpoints; empty for none.
	EndpointPassword string
	// OperatorToken is the token that operators must present; never empty.
	OperatorToken string
}

// Read reads the files that the settings name. It fails if one cannot be read
// or is not valid.
func Read(s settings.Settings) (Keyring, error) {
	var k Keyring
	var err error
	if k.OperatorToken, err = readSecret(s.Operators.TokenFile); err != nil {
		return k, err
	}
	if k.OperatorToken == "" {
		return k, errors.Errorf("the operators' token file %s is empty", s.Operators.TokenFile)
	}
	if s.Endpoints.PasswordFile != "" {
		if k.EndpointPassword, err = readSecret(s.Endpoints.PasswordFile); err != nil {
			return k, err
		}
	}
	if s.Keys.CallerCertificateFile != "" {
		if k.CallerTLS, err = callerTLS(s.Keys); err != nil {
			return k, err
		}
	}
	if s.Keys.SiblingCertificateFile != "" {
		if k.SiblingTLS, err = siblingTLS(s.Keys); err != nil {
			return k, err
		}
	}
	return k, nil
}

// readSecret returns the content of a file without surrounding white space.
func readSecret(file string) (string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", errors.WithStack(err)
	}
	return strings.TrimSpace(string(text)), nil
}

// callerTLS returns the TLS configuration of the servers for callers.
func callerTLS(k settings.Keys) (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(k.CallerCertificateFile, k.CallerKeyFile)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}, nil
}

// siblingName is the DNS name in the certificates of all proxies.
const siblingName = "eelgrassladder-proxy"

// siblingTLS returns the configuration for mutual TLS between proxies. Each
// side must present a certificate signed by the authority; the client also
// requires that the server's certificate is for siblingName.
func siblingTLS(k settings.Keys) (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(k.SiblingCertificateFile, k.SiblingKeyFile)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	authority, err := os.ReadFile(k.SiblingAuthorityFile)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, errors.Errorf("%s contains no PEM certificate", k.SiblingAuthorityFile)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   siblingName,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
