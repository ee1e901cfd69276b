package failover

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder/internal/host/logging"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

// refusalsPerSecond is how many log lines a second report changes of a group that
// were not begun for the same reason and with the same error.
const refusalsPerSecond = 1

// Outcome is how far a change of primary came.
type Outcome int

// The outcomes of a change of primary.
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
	// Changed is called when a change could not begin or has begun, and again when
	// a change that had begun has ended.
	Changed(group string, reason policy.Reason, outcome Outcome)
}

// Reporter passes each outcome to the observer and logs changes that were not
// begun: at once if the reason or the error is new for the group, and once a
// second while both stay the same. Use NewReporter to make one.
type Reporter struct {
	observer Observer
	// write writes a log line.
	write func(message string, fields ...any)

	// mutex guards the field below. It is a leaf.
	mutex sync.Mutex
	// refusals is keyed by the name of the group. A group whose last change has
	// begun has no entry.
	refusals map[string]*logging.Sampler
}

// NewReporter returns a reporter that writes to the structured log.
func NewReporter(o Observer) *Reporter {
	return &Reporter{observer: o, write: klog.InfoS, refusals: map[string]*logging.Sampler{}}
}

// WithWriter returns a reporter without history that writes its log lines with
// the function.
func (r *Reporter) WithWriter(write func(message string, fields ...any)) *Reporter {
	return &Reporter{observer: r.observer, write: write, refusals: map[string]*logging.Sampler{}}
}

// Refused notes that a change could not begin.
func (r *Reporter) Refused(now time.Time, group string, reason policy.Reason, err error) {
	r.observer.Changed(group, reason, NotBegun)
	omitted, ok := r.sampler(group).Allow(now, reason.String()+" "+logging.ErrorPattern(err.Error()))
	if !ok {
		return
	}
	r.write("Change of primary not begun", "Group", group, "Reason", reason.String(), "Error", err.Error(),
		"Omitted", omitted)
}

// Begun reports that a change has begun. The next change of the group that cannot
// begin is logged at once.
func (r *Reporter) Begun(group string, reason policy.Reason) {
	r.observer.Changed(group, reason, Begun)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.refusals, group)
}

// Ended reports that a change that had begun is done or given up.
func (r *Reporter) Ended(group string, reason policy.Reason, outcome Outcome) {
	r.observer.Changed(group, reason, outcome)
}

// sampler returns the sampler of the log lines of a group.
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
