package settings

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/host/finding"
	"eelgrassladder.example/eelgrassladder/internal/policy/quota"
)

// Node holds the settings of a proxy process on the users' platform, in place of
// Settings. It is immutable. Each address is an IP address and a port.
type Node struct {
	// Name is unique in the system; never empty.
	Name string
	// DataCentre is the name of the host's data centre; never empty.
	DataCentre string
	// Callers is the address that callers, the clients of the platform, connect
	// to.
	Callers string
	// Readiness is the address that serves the readiness probe.
	Readiness string
	// Metrics is the address that serves metrics at the path /metrics.
	Metrics string
	// Sibling is the address that other proxies connect to.
	Sibling string
	// Store is the address of the platform's store.
	Store string
	// Promotion is the address of the platform's promotion service, which only
	// one proxy at a time may call.
	Promotion string
	// GraceSeconds is how long a graceful shutdown may take, in seconds; above
	// zero.
	GraceSeconds float64
	// Descriptors is the limit of open file descriptors that the process runs
	// under; above zero. The proxy limits its client connections accordingly.
	Descriptors int
	// MemoryMegabytes is the memory limit, in MiB, above which the platform kills
	// the process; above zero. The Go runtime's soft limit is set to half of it.
	MemoryMegabytes int
	// Clients limits clients. Zero values stand for the defaults.
	Clients Clients
	// Contracts names the parts of the platform's contract that are in force. The adapter
	// of the platform knows their names.
	Contracts []string
	// QuotaWindowSeconds, QuotaOverrun and QuotaSlack are the bounds of teams' operations; nil
	// for those of quota.DefaultBounds. In any window of that many seconds, above zero, a team
	// may run (rate x window + burst) x (1 + overrun) + slack operations.
	QuotaWindowSeconds *float64 `json:",omitempty"`
	QuotaOverrun       *float64 `json:",omitempty"`
	QuotaSlack         *float64 `json:",omitempty"`
	// LogLevel is the log's level, from 0 for what operators need to 4 for the
	// most detail.
	LogLevel int
}

// Clients are the limits for clients that an operator may change. It is immutable.
type Clients struct {
	// Megabytes is how much clients may hold above what each connection may, in MiB; a fifth
	// of MemoryMegabytes by default.
	Megabytes int
	// MessageSeconds bounds the wait for the next byte of a message that has begun, and
	// AnswerSeconds the time in which a client must read an answer.
	MessageSeconds, AnswerSeconds float64
}

// The default values of Clients. No client that follows the protocol reaches them.
const (
	defaultMessageTimeout = 30 * time.Second
	defaultAnswerTimeout  = 5 * time.Second
)

// MessageTimeout returns how long a client may send nothing of a message that has begun.
func (c Clients) MessageTimeout() time.Duration {
	return seconds(c.MessageSeconds, defaultMessageTimeout)
}

// AnswerTimeout returns the time in which a client must read an answer.
func (c Clients) AnswerTimeout() time.Duration {
	return seconds(c.AnswerSeconds, defaultAnswerTimeout)
}

// seconds returns a number of seconds, or the default for zero.
func seconds(n float64, byDefault time.Duration) time.Duration {
	if n == 0 {
		return byDefault
	}
	return time.Duration(n * float64(time.Second))
}

// Grace returns how long a graceful shutdown may take.
func (n Node) Grace() time.Duration {
	return time.Duration(n.GraceSeconds * float64(time.Second))
}

// QuotaBounds returns the bounds of teams' operations.
func (n Node) QuotaBounds() quota.Bounds {
	b := quota.DefaultBounds()
	if n.QuotaWindowSeconds != nil {
		b = b.WithWindow(time.Duration(*n.QuotaWindowSeconds * float64(time.Second)))
	}
	if n.QuotaOverrun != nil {
		b = b.WithOverrun(*n.QuotaOverrun)
	}
	if n.QuotaSlack != nil {
		b = b.WithSlack(*n.QuotaSlack)
	}
	return b
}

// ReadNode reads and checks a settings file of a proxy on the platform. The
// error reports a file that cannot be read; the findings report invalid
// content.
func ReadNode(file string) (Node, finding.Findings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Node{}, nil, errors.WithStack(err)
	}
	n, findings := ParseNode(file, text)
	return n, findings, nil
}

// ParseNode decodes and checks the text of a settings file of a proxy on the
// platform. The file's name is used in findings.
func ParseNode(file string, text []byte) (Node, finding.Findings) {
	var n Node
	d := finding.Decode(file, text, &n)
	if len(d.Findings()) > 0 {
		return n, d.Findings()
	}
	requireText(d, "/Name", n.Name)
	requireText(d, "/DataCentre", n.DataCentre)
	requireAddress(d, "/Callers", n.Callers)
	requireAddress(d, "/Readiness", n.Readiness)
	requireAddress(d, "/Metrics", n.Metrics)
	requireAddress(d, "/Sibling", n.Sibling)
	requireAddress(d, "/Store", n.Store)
	requireAddress(d, "/Promotion", n.Promotion)
	if n.GraceSeconds <= 0 {
		d.Addf("/GraceSeconds", "must be above zero")
	}
	if n.Descriptors <= 0 {
		d.Addf("/Descriptors", "must be above zero")
	}
	if n.MemoryMegabytes <= 0 {
		d.Addf("/MemoryMegabytes", "must be above zero")
	}
	if n.QuotaWindowSeconds != nil && *n.QuotaWindowSeconds <= 0 {
		d.Addf("/QuotaWindowSeconds", "must be above zero")
	}
	requireNotNegative(d, "/QuotaOverrun", n.QuotaOverrun)
	requireNotNegative(d, "/QuotaSlack", n.QuotaSlack)
	if n.Clients.Megabytes < 0 || n.Clients.Megabytes > n.MemoryMegabytes/2 {
		d.Addf("/Clients/Megabytes", "must be from 0 to half of MemoryMegabytes")
	}
	if n.Clients.MessageSeconds < 0 || n.Clients.AnswerSeconds < 0 {
		d.Addf("/Clients", "MessageSeconds and AnswerSeconds must not be negative")
	}
	if n.LogLevel < 0 || n.LogLevel > 4 {
		d.Addf("/LogLevel", "must be from 0 to 4")
	}
	return n, d.Findings()
}

// requireNotNegative adds a finding if the value is given and below zero.
func requireNotNegative(d *finding.Document, path string, value *float64) {
	if value != nil && *value < 0 {
		d.Addf(path, "must not be below zero")
	}
}
