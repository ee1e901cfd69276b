// Package settings reads the settings of one process: addresses, data centre,
// platform and keys. What holds for the whole system is configuration and
// lives in the platform's store.
package settings

import (
	"net/netip"
	"os"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/host/finding"
)

// Settings are the settings of one proxy process. They are immutable.
type Settings struct {
	// Name is unique in the system; never empty.
	Name string
	// DataCentre is where the host stands; never empty.
	DataCentre string
	// Listen holds the addresses that the process listens on.
	Listen Listen
	// Platform is where the platform's service answers.
	Platform Platform
	// Siblings lists addresses of other proxies, asked at the start when the
	// platform does not answer; may be empty.
	Siblings []string
	// Endpoints is what the process shows to the members of database groups.
	Endpoints Endpoints
	// Operators is how operators show who they are.
	Operators Operators
	// Keys names the files with certificates and keys.
	Keys Keys
	// Limits bounds what the process takes on.
	Limits Limits
	// Log sets what is logged.
	Log Log
}

// Listen holds addresses, each an IP number and a port.
type Listen struct {
	// Postgres is for callers with the PostgreSQL protocol.
	Postgres string
	// HTTP is for callers over HTTP.
	HTTP string
	// Operator is for operators, metrics and health.
	Operator string
	// Sibling is for other proxies.
	Sibling string
}

// Platform is where the platform's service answers.
type Platform struct {
	// Address is an IP number and a port.
	Address string
}

// Endpoints is what the process shows to endpoints.
type Endpoints struct {
	// User is the name that endpoints know the system by; never empty.
	User string
	// PasswordFile names a file that holds the password; empty for none.
	PasswordFile string
}

// Operators is how operators show who they are.
type Operators struct {
	// TokenFile names a file that holds the operators' token; never empty.
	TokenFile string
}

// Keys names files in PEM form; empty names mean that TLS is not used.
type Keys struct {
	// CallerCertificateFile and CallerKeyFile are shown to callers.
	CallerCertificateFile string
	CallerKeyFile         string
	// SiblingCertificateFile, SiblingKeyFile and SiblingAuthorityFile are for
	// mutual TLS between proxies.
	SiblingCertificateFile string
	SiblingKeyFile         string
	SiblingAuthorityFile   string
}

// Limits bounds what the process takes on.
type Limits struct {
	// Connections is the most caller connections; zero means the default.
	Connections int
}

// Log sets what is logged.
type Log struct {
	// Level is 0 for what operators need and up to 4 for more.
	Level int
}

// Read reads and checks a file of settings.
func Read(file string) (Settings, finding.Findings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, nil, errors.WithStack(err)
	}
	s, findings := Parse(file, text)
	return s, findings, nil
}

// Parse checks the text of a file of settings.
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
	for _, a := range s.Siblings {
		requireAddress(d, "/Siblings", a)
	}
	requireTogether(d, "/Keys/CallerKeyFile", s.Keys.CallerCertificateFile, s.Keys.CallerKeyFile)
	requireTogether(d, "/Keys/SiblingKeyFile", s.Keys.SiblingCertificateFile, s.Keys.SiblingKeyFile, s.Keys.SiblingAuthorityFile)
	if s.Limits.Connections < 0 {
		d.Add("/Limits/Connections", "must not be negative")
	}
	if s.Log.Level < 0 || s.Log.Level > 4 {
		d.Add("/Log/Level", "must be from 0 to 4")
	}
	return s, d.Findings()
}

// requireText asks that a text is not empty.
func requireText(d *finding.Document, path, value string) {
	if value == "" {
		d.Add(path, "must not be empty")
	}
}

// requireAddress asks that a text is an IP number and a port.
func requireAddress(d *finding.Document, path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		d.Add(path, "must be an IP number and a port, such as \"127.0.0.1:6432\"")
	}
}

// requireTogether asks that either all or none of the names are set.
func requireTogether(d *finding.Document, path string, names ...string) {
	set := 0
	for _, n := range names {
		if n != "" {
			set++
		}
	}
	if set != 0 && set != len(names) {
		d.Add(path, "certificate, key and authority must be set together")
	}
}
