package gateway

import (
	"time"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder/internal/host/logging"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
)

const (
	// failuresPerSecond is the number of log lines per second for failures of one
	// reason.
	failuresPerSecond = 10
	// successesPerSecond is the number of log lines per second for successes of one
	// consistency.
	successesPerSecond = 1
	// doubtsPerSecond is the number of log lines per second for commits with one Doubt.
	doubtsPerSecond = 2
)

// Log is an Observer that writes failures and successes to the structured log, at a
// limited rate for each reason. A line says how many lines of its reason were omitted
// before it.
type Log struct {
	failures  *logging.Sampler
	successes *logging.Sampler
	doubts    *logging.Sampler
}

// NewLog returns a log that has not written any line yet.
func NewLog() Log {
	return Log{
		failures: logging.NewSampler(failuresPerSecond), successes: logging.NewSampler(successesPerSecond),
		doubts: logging.NewSampler(doubtsPerSecond),
	}
}

// Answered logs the answer to a client.
func (l Log) Answered(a Answered) {
	if d := a.Doubt(); d != NoDoubt {
		l.commitDoubted(a, d)
	}
	message, sampler, reason := "Request served", l.successes, a.Route.Consistency.String()
	if a.Reply.Code != statement.OK {
		message, sampler, reason = "Request failed", l.failures, a.Reply.Code.String()+a.Reply.Detail
	}
	omitted, allowed := sampler.Allow(time.Now(), reason)
	if !allowed {
		return
	}
	klog.InfoS(message, "Request", shortened(a.Statement.ID), "Kind", a.Statement.Kind.String(),
		"Code", a.Reply.Code.String(), "Detail", a.Reply.Detail, "Database", a.Route.Database, "Group", a.Route.Group,
		"Version", a.RoutesVersion, "Team", a.Team, "Endpoint", a.Endpoint, "Primary", a.Primary, "Term", a.Leader.Term,
		"Closed", a.Leader.Closed, "ProofAgeMs", (a.Now - a.Leader.Proven).Milliseconds(),
		"PositionAgeMs", (a.Now - a.Leader.LastSampleTime()).Milliseconds(),
		"RecordAgeMs", a.Leader.RecordAgeMs(a.Now), "Position", a.Reply.Position.String(),
		"TookMs", a.Took.Milliseconds(), "Tries", a.Attempts, "Pooler", a.Pooler, "Asker", a.Asker, "Omitted", omitted)
}

// commitDoubted logs a commit that was passed on to a client although its group's record
// was not surely open.
func (l Log) commitDoubted(a Answered, d Doubt) {
	omitted, allowed := l.doubts.Allow(time.Now(), d.String())
	if !allowed {
		return
	}
	klog.InfoS("Commit passed on without a fresh record", "Request", shortened(a.Statement.ID), "Doubt", d.String(), "Group", a.Route.Group,
		"Endpoint", a.Endpoint, "Position", a.Reply.Position.String(), "Known", a.Leader.Endpoint, "Term", a.Leader.Term,
		"Closed", a.Leader.Closed, "KnownForMs", (a.Now - a.Leader.Since).Milliseconds(),
		"RecordAgeMs", a.Leader.RecordAgeMs(a.Now), "TookMs", a.Took.Milliseconds(), "Omitted", omitted)
}

// AttemptFailed logs a failed attempt.
func (l Log) AttemptFailed(f FailedAttempt) {
	omitted, allowed := l.failures.Allow(time.Now(), "try"+f.Endpoint+f.Reply.Code.String())
	if !allowed {
		return
	}
	klog.InfoS("Try failed", "Request", shortened(f.Statement.ID), "Kind", f.Statement.Kind.String(), "Endpoint", f.Endpoint,
		"Reason", f.Reason, "After", f.After.String(), "Position", f.Reply.Position.String(), "Sent", f.Sent, "TookMs", f.Took.Milliseconds(), "Omitted", omitted)
}

// Observers is an Observer that calls several observers in turn.
type Observers []Observer

// Answered calls all observers.
func (o Observers) Answered(a Answered) {
	for _, observer := range o {
		observer.Answered(a)
	}
}

// AttemptFailed calls all observers.
func (o Observers) AttemptFailed(f FailedAttempt) {
	for _, observer := range o {
		observer.AttemptFailed(f)
	}
}
