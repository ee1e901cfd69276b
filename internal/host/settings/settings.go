// Package settings reads and checks the settings of one process: its
// addresses, data centre, platform, keys and limits. What applies to the whole
// system is configuration and is kept in the platform's store.
package settings

import (
	"net/netip"
	"os"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/host/finding"
)

// Settings holds the settings of one proxy process. It is immutable.
type Settings struct {
	// Name is unique in the system; never empty.
	Name string
	// DataCentre is the name of the host's data centre; never empty.
	DataCentre string
	Listen     Listen
	// Platform locates the platform's service.
	Platform Platform
	// Siblings lists addresses of other proxies. They are contacted at the start,
	// so that the proxy can join the others while the platform does not answer.
	// It may be empty.
	Siblings []string
	// Endpoints holds the credentials for the members of database groups.
	Endpoints Endpoints
	Operators Operators
	// Keys names the files with TLS certificates and keys.
	Keys   Keys
	Limits Limits
	Log    Log
}

// Listen holds the addresses that the process listens on, each an IP address
// and a port.
type Listen struct {
	// Postgres is for callers that use the PostgreSQL protocol.
	Postgres string
	// HTTP is for callers over HTTP.
	HTTP string
	// Operator is for operators, metrics and health.
	Operator string
	// Sibling is for other proxies.
	Sibling string
}

// Platform locates the platform's service.
type Platform struct {
	// Address is an IP address and a port.
	Address string
}

// Endpoints holds the credentials with which this process logs in at endpoints.
type Endpoints struct {
	// User is the user name at endpoints; never empty.
	User string
	// PasswordFile names a file with the password; empty for no password.
	PasswordFile string
}

// Operators configures how operators are authenticated.
type Operators struct {
	// TokenFile names a file with the operators' token; never empty.
	TokenFile string
}

// Keys names PEM files for TLS: for callers, and between proxies. Without the
// names of either, TLS is not used there.
type Keys struct {
	// CallerCertificateFile and CallerKeyFile are the server's certificate and
	// key for callers.
	CallerCertificateFile string
	CallerKeyFile         string
	// SiblingCertificateFile, SiblingKeyFile and SiblingAuthorityFile are for
	// mutual TLS between proxies.
	SiblingCertificateFile string
	SiblingKeyFile         string
	SiblingAuthorityFile   string
}

// Limits limits the load that the process accepts.
type Limits struct {
	// Connections is the maximum number of caller connections; zero for the
	// default.
	Connections int
	// MemoryMegabytes is the memory, in MiB, that the process may use. What callers and other
	// proxies hold is limited accordingly; zero for no limit.
	MemoryMegabytes int
	// Descriptors is the limit of open file descriptors that the process runs under. Its
	// connections are limited accordingly; zero for no limit.
	Descriptors int
}

// Log configures the log.
type Log struct {
	// Level is from 0 for what operators need to 4 for the most detail.
	Level int
}

// Read reads and checks a settings file. The error reports a file that cannot
// be read; the findings report invalid content.
func Read(file string) (Settings, finding.Findings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, nil, errors.WithStack(err)
	}
	s, findings := Parse(file, text)
	return s, findings, nil
}

// Parse decodes and checks the text of a settings file. The file's name is used
// in findings.
func Parse(file string, text []byte) (Settings, finding.Findings) {
	var s Settings
	d := finding.Decode(file, text, &s)
	if len(d.Findings()) > 0 {
		return s, d.Findings()
	}
	requireText(d, "/Name", s.Name)
	requireText(d, "/DataCentre", s.DataCentre)
	requireText(d, "/Endpoints/User", s.Endpoints.User)
	requireText(d, "/Operators/TokenFile", s.Operators.TokenFile)
	requireAddress(d, "/Listen/Postgres", s.Listen.Postgres)
	requireAddress(d, "/Listen/HTTP", s.Listen.HTTP)
	requireAddress(d, "/Listen/Operator", s.Listen.Operator)
	requireAddress(d, "/Listen/Sibling", s.Listen.Sibling)
	requireAddress(d, "/Platform/Address", s.Platform.Address)
	for _, address := range s.Siblings {
		requireAddress(d, "/Siblings", address)
	}
	requireTogether(d, "/Keys/CallerKeyFile", s.Keys.CallerCertificateFile, s.Keys.CallerKeyFile)
	requireTogether(d, "/Keys/SiblingKeyFile", s.Keys.SiblingCertificateFile, s.Keys.SiblingKeyFile, s.Keys.SiblingAuthorityFile)
	if s.Limits.Connections < 0 {
		d.Addf("/Limits/Connections", "must not be negative")
	}
	if s.Limits.MemoryMegabytes < 0 || s.Limits.Descriptors < 0 {
		d.Addf("/Limits", "MemoryMegabytes and Descriptors must not be negative")
	}
	if s.Log.Level < 0 || s.Log.Level > 4 {
		d.Addf("/Log/Level", "must be from 0 to 4")
	}
	return s, d.Findings()
}

// requireText adds a finding if the value is empty.
func requireText(d *finding.Document, path, value string) {
	if value == "" {
		d.Addf(path, "must not be empty")
	}
}

// requireAddress adds a finding if the value is not an IP address and a port.
func requireAddress(d *finding.Document, path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		d.Addf(path, "must be an IP number and a port, such as \"127.0.0.1:6432\"")
	}
}

// requireTogether adds a finding if some but not all of the file names are set.
func requireTogether(d *finding.Document, path string, files ...string) {
	set := 0
	for _, file := range files {
		if file != "" {
			set++
		}
	}
	if set != 0 && set != len(files) {
		d.Addf(path, "certificate, key and authority must be set together")
	}
}
