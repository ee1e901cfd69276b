package cluster_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/host/keyring"
	"eelgrassladder.example/eelgrassladder/internal/host/settings"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/lab/cluster"
	"eelgrassladder.example/eelgrassladder/internal/lab/workload"
	"eelgrassladder.example/eelgrassladder/internal/peer/proxy"
)

// certificate writes a certificate for the proxies' DNS name, and its key, into the
// directory, and returns both. It is signed with the parent's key, signer; without a
// parent it is self-signed.
func certificate(t *testing.T, dir, name string, parent *x509.Certificate, signer *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, DNSNames: []string{"eelgrassladder-proxy"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IsCA: parent == nil,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if parent == nil {
		parent, signer = template, key
	}
	certificateDER, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	for file, block := range map[string]*pem.Block{
		name + ".pem": {Type: "CERTIFICATE", Bytes: certificateDER}, name + ".key": {Type: "EC PRIVATE KEY", Bytes: keyDER},
	} {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, file), pem.EncodeToMemory(block), 0o600))
	}
	parsed, err := x509.ParseCertificate(certificateDER)
	assert.NilError(t, err)
	return parsed, key
}

// readKeyring reads a keyring from the directory: the certificate and key of a proxy,
// and the certificate of the authority that must have signed those of other proxies.
func readKeyring(t *testing.T, dir, proxyName, authority string) keyring.Keyring {
	t.Helper()
	path := func(file string) string { return filepath.Join(dir, file) }
	assert.NilError(t, os.WriteFile(path("token"), []byte("word\n"), 0o600))
	k, err := keyring.Read(settings.Settings{
		Operators: settings.Operators{TokenFile: path("token")},
		Keys: settings.Keys{
			CallerCertificateFile: path(proxyName + ".pem"), CallerKeyFile: path(proxyName + ".key"),
			SiblingCertificateFile: path(proxyName + ".pem"), SiblingKeyFile: path(proxyName + ".key"),
			SiblingAuthorityFile: path(authority + ".pem"),
		},
	})
	assert.NilError(t, err)
	return k
}

func TestTLSServesCallersAndOnlyProxiesOfTheSameAuthority(t *testing.T) {
	dir := t.TempDir()
	authority, signer := certificate(t, dir, "authority", nil, nil)
	certificate(t, dir, "proxy", authority, signer)
	otherAuthority, otherSigner := certificate(t, dir, "stranger-authority", nil, nil)
	certificate(t, dir, "stranger", otherAuthority, otherSigner)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	cl, err := cluster.Start(ctx, cluster.Plan{Workload: workload.Magnolia(), Proxies: 2, Keys: readKeyring(t, dir, "proxy", "authority")})
	assert.NilError(t, err)
	defer cl.Stop()
	for i, address := range cl.Addresses() {
		secureURL := strings.Replace(url(address, "deposits"), "sslmode=disable", "sslmode=require", 1)
		c, err := pgx.Connect(ctx, secureURL)
		assert.NilError(t, err)
		_, err = c.Exec(ctx, "CREATE TABLE IF NOT EXISTS orders (id bigserial, pet text)")
		assert.NilError(t, err, "proxy %d", i)
		assert.NilError(t, c.Close(ctx))
	}
	tasks := task.New(ctx)
	defer tasks.Stop()
	siblingAddress := cl.Proxies[0].Service.Addresses().Sibling
	for name, options := range map[string][]proxy.Option{
		"without keys":                   nil,
		"with keys of another authority": {proxy.WithTLS(readKeyring(t, dir, "stranger", "authority").SiblingTLS)},
	} {
		links := proxy.NewLinks("stranger", timer.New(), tasks, options...)
		_, err := links.Exchange(ctx, siblingAddress, proxy.Heartbeat{}, time.Second)
		assert.Assert(t, err != nil, "a heartbeat %s was answered", name)
	}
	links := proxy.NewLinks("friend", timer.New(), tasks, proxy.WithTLS(readKeyring(t, dir, "proxy", "authority").SiblingTLS))
	_, err = links.Exchange(ctx, siblingAddress, proxy.Heartbeat{}, time.Second)
	assert.NilError(t, err)
}
