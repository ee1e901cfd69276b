package failover

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder/internal/host/logging"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

// refusalBudget is how many lines a second tell of changes of a group that
// were not begun for the same reason and with the same error.
const refusalBudget = 1

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
type Notes struct {
	observer Observer
	// write writes a line of the log.
	write func(message string, fields ...any)

	// mutex guards the field below. It is a leaf.
	mutex sync.Mutex
	// refusals is keyed by group. A group whose last change has begun has no
	// entry.
	refusals map[string]*logging.Sampler
}

// NewNotes returns notes that write lines to the structured log.
func NewNotes(o Observer) *Notes {
	return &Notes{observer: o, write: klog.InfoS, refusals: map[string]*logging.Sampler{}}
}

// WithWriter returns empty notes whose lines go elsewhere.
func (n *Notes) WithWriter(write func(message string, fields ...any)) *Notes {
	return &Notes{observer: n.observer, write: write, refusals: map[string]*logging.Sampler{}}
}

// Refused notes that a change could not begin.
func (n *Notes) Refused(now time.Time, group string, reason policy.Reason, err error) {
	n.observer.Changed(group, reason, NotBegun)
	omitted, ok := n.sampler(group).Allow(now, reason.String()+" "+logging.ErrorPattern(err.Error()))
	if !ok {
		return
	}
	n.write("Change of primary not begun", "Group", group, "Reason", reason.String(), "Error", err.Error(),
		"Omitted", omitted)
}

// Begun notes that a change has begun. The next one that cannot begin is new.
func (n *Notes) Begun(group string, reason policy.Reason) {
	n.observer.Changed(group, reason, Begun)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.refusals, group)
}

// Ended notes that a change that had begun is done or given up.
func (n *Notes) Ended(group string, reason policy.Reason, outcome Outcome) {
	n.observer.Changed(group, reason, outcome)
}

// sampler returns the sampler of a group's refusals.
func (n *Notes) sampler(group string) *logging.Sampler {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	s, ok := n.refusals[group]
	if !ok {
		s = logging.NewSampler(refusalBudget)
		n.refusals[group] = s
	}
	return s
}
