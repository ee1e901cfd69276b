package owner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/group"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/peer/endpoint"
	"eelgrassladder.example/eelgrassladder/internal/policy/promotion"
)

// The timing of a change of term.
const (
	// commandTimeout bounds one command to a member.
	commandTimeout = 400 * time.Millisecond
	// lateGrantTimeout is how long to wait for further grants once a majority
	// has granted the term.
	lateGrantTimeout = 40 * time.Millisecond
	// termRetryPause is the first pause between tries of a change of term. It
	// doubles with each try up to maxTermRetryPause.
	termRetryPause    = 30 * time.Millisecond
	maxTermRetryPause = 480 * time.Millisecond
	// supersededBackoff is the minimum delay before a proxy whose term was
	// superseded raises the term again; the maximum is twice as long. It keeps
	// two proxies from superseding each other's terms forever.
	supersededBackoff = 300 * time.Millisecond
	// followPeriod is the interval at which lagging members are sent a follow
	// command.
	followPeriod = 50 * time.Millisecond
	// observationTimeout bounds how long an owner waits to observe the terms
	// of a majority before it raises the term.
	observationTimeout = 200 * time.Millisecond
	// maxPromoteTries is the maximum number of times that a promotion is ordered
	// while it fails.
	maxPromoteTries = 3
)

// termRequest asks the term loop to replace a term. It is immutable.
type termRequest struct {
	// reason says why the term must be replaced.
	reason string
	// term is the term to replace; zero if none is active.
	term uint64
}

// requestTerm asks the term loop to replace the term. It does nothing during a
// handover, or while another request waits for the loop.
func (o *Owner) requestTerm(reason string, term uint64) {
	if o.draining.Load() {
		return
	}
	select {
	case o.termRequests <- termRequest{reason: reason, term: term}:
	default:
	}
}

// runTermLoop raises the term on request, and periodically commands members that
// are behind the active term to follow its primary.
func (o *Owner) runTermLoop(ctx context.Context) error {
	s := o.timer.Subscribe(followPeriod)
	defer s.Stop()
	controls := newControlPool(o)
	defer controls.close()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case requested := <-o.termRequests:
			if active := o.current(); active != nil && active.term != requested.term {
				// The term was already replaced on an earlier request.
				continue
			}
			o.raiseTerm(ctx, controls, requested.reason)
		case <-s.C():
			o.sendFollow(ctx, controls)
		}
	}
}

// raiseTerm tries to raise the term until a primary serves, ctx ends or a
// handover begins.
func (o *Owner) raiseTerm(ctx context.Context, controls *controlPool, reason string) {
	started := o.timer.Now()
	if reason == string(promotion.Superseded) {
		o.deactivate()
		timer.Pause(ctx, o.timer, supersededBackoff+rand.N(supersededBackoff))
	}
	if active := o.current(); active != nil && !o.stillNeeded(active, reason) {
		return
	}
	previous := o.deactivate()
	o.awaitObservations(ctx)
	pause := termRetryPause
	for ctx.Err() == nil && !o.draining.Load() {
		if o.tryRaiseTerm(ctx, controls, previous, reason, started) {
			return
		}
		timer.Pause(ctx, o.timer, pause+rand.N(pause))
		pause = min(2*pause, maxTermRetryPause)
	}
}

// awaitObservations waits until the terms of a majority are observed, at most
// observationTimeout.
func (o *Owner) awaitObservations(ctx context.Context) {
	deadline := o.timer.Now().Add(observationTimeout)
	for ctx.Err() == nil && o.timer.Now().Before(deadline) {
		observed := 0
		for _, m := range o.observations.All() {
			if !m.Seen.IsZero() {
				observed++
			}
		}
		if observed >= o.Group().Majority() {
			return
		}
		timer.Pause(ctx, o.timer, pollPeriod)
	}
}

// stillNeeded reports whether the active term still has to be replaced. The
// reason may no longer hold once the request reaches the term loop. A takeover
// needs a new term in any case, to fence off the previous owner.
func (o *Owner) stillNeeded(active *activeTerm, reason string) bool {
	if reason == "Takeover" {
		return true
	}
	return promotion.DecideNewTerm(o.timer.Now(), o.observations.All(), active.term, active.primary) != promotion.None
}

// tryRaiseTerm fences a majority in a new term, promotes the most advanced
// member and activates the term. It reports whether it succeeded.
func (o *Owner) tryRaiseTerm(ctx context.Context, controls *controlPool, previous *activeTerm, reason string, started time.Time) bool {
	g := o.Group()
	o.mutex.Lock()
	o.highestTerm++
	term := o.highestTerm
	o.mutex.Unlock()
	proposer := fmt.Sprintf("%s/%d", o.proxy, o.incarnation)
	primary := o.lastPrimary()
	if previous != nil {
		primary = previous.primary
	}
	grants := o.fence(ctx, controls, g, term, proposer)
	chosen, ok := promotion.Choose(g, grants, primary, reason == string(promotion.PrimaryCutOff))
	if !ok {
		klog.V(1).InfoS("A majority did not grant the term", "Group", g.Name, "Term", term, "Grants", len(grants))
		return false
	}
	promoted, ok := o.promote(ctx, controls, chosen, term, proposer)
	if !ok {
		return false
	}
	// keptLog is how much of the previous term's log the new primary continues.
	keptLog := uint64(0)
	if previous != nil && chosen.Progress.LogTerm == previous.term {
		keptLog = chosen.Progress.Received
	}
	o.sessions.RaiseFloor(position.Position{Term: term, Log: promoted.Received})
	o.observations.Answered(chosen.Member.Name, promoted, o.timer.Now())
	o.acks.ContinueTerm(term, keptLog)
	o.activate(term, chosen.Member.Name)
	o.sendFollow(ctx, controls)
	took := o.timer.Now().Sub(started)
	klog.InfoS("Term raised", "Group", g.Name, "Term", term, "Primary", chosen.Member.Name,
		"Reason", reason, "TookMs", took.Milliseconds())
	if o.onTermChange != nil {
		o.onTermChange(TermChange{Group: g.Name, Term: term, Primary: chosen.Member.Name, Reason: reason, Took: took})
	}
	return true
}

// lastPrimary returns the name of the primary with the highest observed term, or
// an empty name.
func (o *Owner) lastPrimary() string {
	var name string
	var highest uint64
	for _, m := range o.observations.All() {
		if m.Progress.Role == group.Primary && m.Progress.Term >= highest {
			name, highest = m.Member.Name, m.Progress.Term
		}
	}
	return name
}

// fence asks all members to grant the term and returns the grants that arrive
// until lateGrantTimeout after a majority has granted it.
func (o *Owner) fence(ctx context.Context, controls *controlPool, g group.Group, term uint64, proposer string) []promotion.Grant {
	answers := make(chan *promotion.Grant, len(g.Members))
	for _, m := range g.Members {
		o.tasks.GoIsolated("fence "+m.Name, func(context.Context) {
			p, err := controls.run(ctx, m, func(ctx context.Context, c *endpoint.ControlConnection) (group.Progress, error) {
				return c.Fence(ctx, term, proposer)
			})
			if err != nil {
				answers <- nil
				return
			}
			answers <- &promotion.Grant{Member: m, Progress: p}
		})
	}
	var grants []promotion.Grant
	var deadline <-chan time.Time
	for range g.Members {
		select {
		case <-ctx.Done():
			return grants
		case <-deadline:
			return grants
		case grant := <-answers:
			if grant != nil {
				grants = append(grants, *grant)
			}
		}
		if len(grants) >= g.Majority() && deadline == nil {
			timeout := o.timer.Once(lateGrantTimeout)
			defer timeout.Stop()
			deadline = timeout.C()
		}
	}
	return grants
}

// promote promotes the chosen member. It retries after an error, because the
// command may have taken effect.
func (o *Owner) promote(ctx context.Context, controls *controlPool, chosen promotion.Grant, term uint64, proposer string) (group.Progress, bool) {
	for range maxPromoteTries {
		p, err := controls.run(ctx, chosen.Member, func(ctx context.Context, c *endpoint.ControlConnection) (group.Progress, error) {
			return c.Promote(ctx, term, proposer)
		})
		if err == nil {
			return p, true
		}
		klog.V(1).InfoS("Promoting a member failed", "Member", chosen.Member.Name, "Term", term, "Reason", err.Error())
	}
	return group.Progress{}, false
}

// sendFollow commands the members that are behind the active term to follow
// its primary.
func (o *Owner) sendFollow(ctx context.Context, controls *controlPool) {
	active := o.current()
	if active == nil {
		return
	}
	for _, m := range o.observations.All() {
		p := m.Progress
		behind := p.Term < active.term || (p.Term == active.term && p.Role == group.Fenced)
		if m.Member.Name == active.primary || !m.Reachable || !behind {
			continue
		}
		o.tasks.GoIsolated("follow "+m.Member.Name, func(context.Context) {
			_, err := controls.run(ctx, m.Member, func(ctx context.Context, c *endpoint.ControlConnection) (group.Progress, error) {
				return c.Follow(ctx, active.term, active.primary)
			})
			if err != nil {
				klog.V(1).InfoS("Commanding a member to follow the primary failed", "Member", m.Member.Name, "Term", active.term, "Reason", err.Error())
			}
		})
	}
}

// controlPool holds one control connection per member for commands. Probes
// have connections of their own.
type controlPool struct {
	owner *Owner
	// mutex guards controls. While it is held, run takes Owner.mutex, and close
	// takes the mutex of each memberControl.
	mutex sync.Mutex
	// controls is keyed by the name of the member.
	controls map[string]*memberControl
}

// memberControl is the control connection to one member. Its mutex is held
// during a command and while run records the answer, for which it takes the lock
// of the table of observations and then Owner.mutex, one after the other.
type memberControl struct {
	mutex   sync.Mutex
	control *endpoint.ControlConnection
}

func newControlPool(o *Owner) *controlPool {
	return &controlPool{owner: o, controls: map[string]*memberControl{}}
}

// run runs a command at a member and records the progress that the member
// answers. It retries once on a new connection if the pooled one was lost.
func (c *controlPool) run(
	ctx context.Context, m group.Member, command func(context.Context, *endpoint.ControlConnection) (group.Progress, error),
) (group.Progress, error) {
	c.mutex.Lock()
	member, ok := c.controls[m.Name]
	if !ok {
		member = &memberControl{control: endpoint.NewControlConnection(m.Address, c.owner.Group().Name, c.owner.credentials)}
		c.controls[m.Name] = member
	}
	c.mutex.Unlock()
	member.mutex.Lock()
	defer member.mutex.Unlock()
	bounded, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	p, err := command(bounded, member.control)
	if err != nil && bounded.Err() == nil && member.control.IsClosed() {
		p, err = command(bounded, member.control)
	}
	if err == nil {
		c.owner.observations.Answered(m.Name, p, c.owner.timer.Now())
		c.owner.observeTerm(p.Term)
	}
	return p, err
}

// close closes each connection once the command that uses it has ended. It is
// called after the contexts of all commands have ended.
func (c *controlPool) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, member := range c.controls {
		member.mutex.Lock()
		member.control.Close()
		member.mutex.Unlock()
	}
}
