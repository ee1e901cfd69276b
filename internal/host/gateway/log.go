package gateway

import (
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder/internal/trade/statement"
)

// Log is an Observer that writes failures to the structured log.
type Log struct{}

// NewLog returns an observer that writes to the structured log.
func NewLog() Log { return Log{} }

// Answered logs an answer that is an error.
func (Log) Answered(a Answered) {
	if a.Reply.Code == statement.OK {
		return
	}
	klog.InfoS("Request failed", "Request", a.Statement.ID, "Kind", a.Statement.Kind.String(),
		"Code", a.Reply.Code.String(), "Detail", a.Reply.Detail, "Group", a.Route.Group, "Version", a.Version,
		"Endpoint", a.Endpoint, "Primary", a.Primary, "TookMs", a.Took.Milliseconds(), "Tries", a.Tries)
}

// Tried logs a try that did not answer the client.
func (Log) Tried(t Tried) {
	klog.InfoS("Try failed", "Request", t.Statement.ID, "Kind", t.Statement.Kind.String(), "Endpoint", t.Endpoint,
		"Reason", t.Reason, "Sent", t.Sent, "TookMs", t.Took.Milliseconds())
}
