package gateway

import (
	"time"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder/internal/host/logging"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
)

const (
	// failureBudget is how many failed requests of one reason are logged in a
	// second.
	failureBudget = 10
	// successBudget is how many successes are logged in a second, as samples.
	successBudget = 1
)

// Log is an Observer that writes to the structured log: failures within a
// budget for each reason, and samples of successes. A line tells how many of
// its reason were left out before it.
type Log struct {
	failures  *logging.Sampler
	successes *logging.Sampler
}

// NewLog returns an observer that writes to the structured log.
func NewLog() Log {
	return Log{failures: logging.NewSampler(failureBudget), successes: logging.NewSampler(successBudget)}
}

// Answered logs the answer to a client.
func (l Log) Answered(a Answered) {
	message, sampler, reason := "Request served", l.successes, a.Route.Consistency.String()
	if a.Reply.Code != statement.OK {
		message, sampler, reason = "Request failed", l.failures, a.Reply.Code.String()+a.Reply.Detail
	}
	omitted, ok := sampler.Allow(time.Now(), reason)
	if !ok {
		return
	}
	klog.InfoS(message, "Request", a.Statement.ID, "Kind", a.Statement.Kind.String(),
		"Code", a.Reply.Code.String(), "Detail", a.Reply.Detail, "Database", a.Route.Database, "Group", a.Route.Group,
		"Version", a.Version, "Endpoint", a.Endpoint, "Primary", a.Primary, "Term", a.Lead.Term,
		"Closed", a.Lead.Closed, "ProofAgeMs", (a.Now - a.Lead.Proven).Milliseconds(),
		"PositionAgeMs", (a.Now - a.Lead.LastSampleTime()).Milliseconds(),
		"TookMs", a.Took.Milliseconds(), "Tries", a.Tries, "Omitted", omitted)
}

// AttemptFailed logs a try that did not answer the client.
func (l Log) AttemptFailed(t FailedAttempt) {
	omitted, ok := l.failures.Allow(time.Now(), "try"+t.Endpoint+t.Reply.Code.String())
	if !ok {
		return
	}
	klog.InfoS("Try failed", "Request", t.Statement.ID, "Kind", t.Statement.Kind.String(), "Endpoint", t.Endpoint,
		"Reason", t.Reason, "After", t.After.String(), "Position", t.Reply.Position.String(), "Sent", t.Sent, "TookMs", t.Took.Milliseconds(), "Omitted", omitted)
}

// Observers tells several observers in turn.
type Observers []Observer

// Answered tells all of an answer.
func (o Observers) Answered(a Answered) {
	for _, one := range o {
		one.Answered(a)
	}
}

// AttemptFailed tells all of a try.
func (o Observers) AttemptFailed(t FailedAttempt) {
	for _, one := range o {
		one.AttemptFailed(t)
	}
}
