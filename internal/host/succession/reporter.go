package succession

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder/internal/host/journal"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/succession"
)

// refusalBudget is how many lines a second tell of changes of a group that
// were not begun for the same reason and with the same error.
const refusalsPerSecond = 1

// Outcome is how far a change of primary came.
type Outcome int

// The outcomes.
const (
	// NotBegun means that nothing was stopped.
	NotBegun Outcome = iota
	// Begun means that the group's record is closed.
	Begun
	// Done means that the record is open for a new primary.
	Done
	// GivenUp means that the record is left closed.
	GivenUp
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"NotBegun", "Begun", "Done", "GivenUp"}[o]
}

// Observer is told of the changes of primary that this proxy judged due.
type Observer interface {
	// Changed tells how far a change came; one that has begun is told again
	// when it ends.
	Changed(group string, reason policy.Reason, outcome Outcome)
}

// Notes tells the observer of each outcome, and the log of each change that
// was not begun: at once if the reason or the error is new for the group, and
// once a second while it is the same. Use NewNotes to make one.
type Reporter struct {
	observer Observer
	// write writes a line of the log.
	write func(message string, fields ...any)

	// mutex guards the field below. It is a leaf.
	mutex sync.Mutex
	// refusals is keyed by group. A group whose last change has begun has no
	// entry.
	refusals map[string]*journal.Sampler
}

// NewNotes returns notes that write lines to the structured log.
func NewReporter(o Observer) *Reporter {
	return &Reporter{observer: o, write: klog.InfoS, refusals: map[string]*journal.Sampler{}}
}

// WithWriter returns empty notes whose lines go elsewhere.
func (r *Reporter) WithWriter(write func(message string, fields ...any)) *Reporter {
	return &Reporter{observer: r.observer, write: write, refusals: map[string]*journal.Sampler{}}
}

// Refused notes that a change could not begin.
func (r *Reporter) Refused(now time.Time, group string, reason policy.Reason, err error) {
	r.observer.Changed(group, reason, NotBegun)
	omitted, ok := r.sampler(group).Allow(now, reason.String()+" "+journal.Substance(err.Error()))
	if !ok {
		return
	}
	r.write("Change of primary not begun", "Group", group, "Reason", reason.String(), "Error", err.Error(),
		"Omitted", omitted)
}

// Begun notes that a change has begun. The next one that cannot begin is new.
func (r *Reporter) Begun(group string, reason policy.Reason) {
	r.observer.Changed(group, reason, Begun)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.refusals, group)
}

// Ended notes that a change that had begun is done or given up.
func (r *Reporter) Ended(group string, reason policy.Reason, outcome Outcome) {
	r.observer.Changed(group, reason, outcome)
}

// sampler returns the sampler of a group's refusals.
func (r *Reporter) sampler(group string) *journal.Sampler {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s, ok := r.refusals[group]
	if !ok {
		s = journal.NewSampler(refusalsPerSecond)
		r.refusals[group] = s
	}
	return s
}
