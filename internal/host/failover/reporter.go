package failover

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder/internal/host/logging"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

// refusalsPerSecond is the number of log lines per second for attempts to change the
// primary of one group that could not begin for the same reason and with the same
// error.
const refusalsPerSecond = 1

// Outcome is the state of an attempt to change a primary.
type Outcome int

// The outcomes of an attempt to change a primary.
const (
	// NotBegun means that no member was stopped and the record was not closed.
	NotBegun Outcome = iota
	// Begun means that the group's record is closed.
	Begun
	// Done means that the group's record is open for a new primary.
	Done
	// GivenUp means that the change ended and the record is still closed.
	GivenUp
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"NotBegun", "Begun", "Done", "GivenUp"}[o]
}

// Observer receives the outcomes of the changes of primary that this proxy
// attempted.
type Observer interface {
	// Changed is called when a change could not begin or has begun, and again when a
	// change that has begun ends.
	Changed(group string, reason policy.Reason, outcome Outcome)
}

// Reporter passes each outcome to the observer, and logs attempts that could not
// begin: at once if the reason or the error is new for the group, and once a second
// while both stay the same. Use NewReporter to make one.
type Reporter struct {
	observer Observer
	// write writes a log line; fields alternates keys and values.
	write func(message string, fields ...any)

	// mutex guards the field below. No other lock is taken while it is held.
	mutex sync.Mutex
	// refusals holds the samplers of the log lines about attempts that could not begin,
	// by the name of the group. A group whose last attempt has begun has no entry.
	refusals map[string]*logging.Sampler
}

// NewReporter returns a reporter that writes to the structured log.
func NewReporter(o Observer) *Reporter {
	return &Reporter{observer: o, write: klog.InfoS, refusals: map[string]*logging.Sampler{}}
}

// WithWriter returns a reporter with the same observer and no earlier refusals, which
// writes its log lines with the function.
func (r *Reporter) WithWriter(write func(message string, fields ...any)) *Reporter {
	return &Reporter{observer: r.observer, write: write, refusals: map[string]*logging.Sampler{}}
}

// Refused reports that a change could not begin, for the error.
func (r *Reporter) Refused(now time.Time, group string, reason policy.Reason, err error) {
	r.observer.Changed(group, reason, NotBegun)
	omitted, allowed := r.sampler(group).Allow(now, reason.String()+" "+logging.ErrorPattern(err.Error()))
	if !allowed {
		return
	}
	r.write("Change of primary not begun", "Group", group, "Reason", reason.String(), "Error", err.Error(),
		"Omitted", omitted)
}

// Begun reports that a change has begun. The group's next change that cannot begin is
// logged at once.
func (r *Reporter) Begun(group string, reason policy.Reason) {
	r.observer.Changed(group, reason, Begun)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.refusals, group)
}

// Ended reports the outcome of a change that has begun: Done or GivenUp.
func (r *Reporter) Ended(group string, reason policy.Reason, outcome Outcome) {
	r.observer.Changed(group, reason, outcome)
}

// sampler returns the sampler of a group, a new one if the group has none.
func (r *Reporter) sampler(group string) *logging.Sampler {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s, ok := r.refusals[group]
	if !ok {
		s = logging.NewSampler(refusalsPerSecond)
		r.refusals[group] = s
	}
	return s
}
