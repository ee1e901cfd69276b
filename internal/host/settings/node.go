package settings

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/host/finding"
)

// Node are the settings of a proxy process on the users' platform. They are
// immutable.
type Node struct {
	// Name is unique in the system; never empty.
	Name string
	// DataCentre is where the host stands; never empty.
	DataCentre string
	// Callers is the address that clients connect to.
	Callers string
	// Readiness is the address of the readiness probe.
	Readiness string
	// Metrics is the address at whose path /metrics counters and latency
	// histograms are served.
	Metrics string
	// Sibling is the address that other proxies connect to.
	Sibling string
	// Store is the address of the platform's store.
	Store string
	// Promotion is the address of the platform's singleton calls.
	Promotion string
	// GraceSeconds is how long the process may run after it was told to stop.
	GraceSeconds float64
	// Descriptors is how many files the process may have open.
	Descriptors int
	// MemoryMegabytes is what the process may use before it is killed.
	MemoryMegabytes int
	// LogLevel is 0 for what operators need and up to 4 for more.
	LogLevel int
}

// Grace is how long the process may run after it was told to stop.
func (n Node) Grace() time.Duration {
	return time.Duration(n.GraceSeconds * float64(time.Second))
}

// ReadNode reads and checks a file of settings of a proxy on the platform.
func ReadNode(file string) (Node, finding.Findings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Node{}, nil, errors.WithStack(err)
	}
	n, findings := ParseNode(file, text)
	return n, findings, nil
}

// ParseNode checks the text of a file of settings of a proxy on the platform.
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
		d.Add("/GraceSeconds", "must be above zero")
	}
	if n.Descriptors <= 0 {
		d.Add("/Descriptors", "must be above zero")
	}
	if n.MemoryMegabytes <= 0 {
		d.Add("/MemoryMegabytes", "must be above zero")
	}
	if n.LogLevel < 0 || n.LogLevel > 4 {
		d.Add("/LogLevel", "must be from 0 to 4")
	}
	return n, d.Findings()
}
