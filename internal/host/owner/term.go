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

// The times of a change of term.
const (
	// commandTime bounds one command to a member.
	commandTime = 400 * time.Millisecond
	// lateGrant is how long to wait for members beyond a majority.
	lateGrant = 40 * time.Millisecond
	// tryPause is the first wait before another try of a change of term; it
	// doubles with each try up to maxTryPause.
	tryPause    = 30 * time.Millisecond
	maxTryPause = 480 * time.Millisecond
	// yieldTime is the least wait of a proxy whose term was superseded, so
	// that two proxies do not raise terms against each other without end.
	yieldTime = 300 * time.Millisecond
	// followPeriod is how often members are told to follow the primary.
	followPeriod = 50 * time.Millisecond
	// firstAnswers is how long a new owner waits to learn the group's term.
	firstAnswers = 200 * time.Millisecond
	// promoteTries is how often a promotion whose answer was lost is asked.
	promoteTries = 3
)

// raiseRequest asks for a new term. It is immutable.
type raiseRequest struct {
	// reason says why the term was found wanting.
	reason string
	// term is the term that was judged; zero if none was in force.
	term uint64
}

// askRaise asks the term loop for a term above the one that was judged.
func (o *Owner) askRaise(reason string, judged uint64) {
	if o.draining.Load() {
		return
	}
	select {
	case o.raise <- raiseRequest{reason: reason, term: judged}:
	default:
	}
}

// keepTerm raises the term when asked and tells members to follow.
func (o *Owner) keepTerm(ctx context.Context) error {
	s := o.timer.Subscribe(followPeriod)
	defer s.Stop()
	commands := newCommands(o)
	defer commands.close()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case asked := <-o.raise:
			if g := o.current(); g != nil && g.term != asked.term {
				// Another judgement of the same term has raised it meanwhile.
				continue
			}
			o.change(ctx, commands, asked.reason)
		case <-s.C():
			o.follow(ctx, commands)
		}
	}
}

// change raises the term until a primary serves or ctx ends.
func (o *Owner) change(ctx context.Context, commands *commands, reason string) {
	began := o.timer.Now()
	if reason == string(promotion.Superseded) {
		o.retire()
		timer.Pause(ctx, o.timer, yieldTime+rand.N(yieldTime))
	}
	if g := o.current(); g != nil && !o.stillNeeded(g, reason) {
		return
	}
	before := o.retire()
	o.awaitObservations(ctx)
	pause := tryPause
	for ctx.Err() == nil && !o.draining.Load() {
		if o.tryRaise(ctx, commands, before, reason, began) {
			return
		}
		timer.Pause(ctx, o.timer, pause+rand.N(pause))
		pause = min(2*pause, maxTryPause)
	}
}

// awaitObservations waits a short time until a majority has told its term.
func (o *Owner) awaitObservations(ctx context.Context) {
	end := o.timer.Now().Add(firstAnswers)
	for ctx.Err() == nil && o.timer.Now().Before(end) {
		seen := 0
		for _, m := range o.members.All() {
			if !m.Seen.IsZero() {
				seen++
			}
		}
		if seen >= o.Group().Majority() {
			return
		}
		timer.Pause(ctx, o.timer, drainPace)
	}
}

// stillNeeded judges again just before the term is raised: the reason may
// have gone while the request for a new term waited.
func (o *Owner) stillNeeded(g *generation, reason string) bool {
	if reason == "Takeover" {
		return true
	}
	return promotion.DecideNewTerm(o.timer.Now(), o.members.All(), g.term, g.primary) != promotion.None
}

// tryRaise fences a majority in a new term, promotes the best member and puts
// the term into force.
func (o *Owner) tryRaise(ctx context.Context, commands *commands, before *generation, reason string, began time.Time) bool {
	g := o.Group()
	o.mutex.Lock()
	o.highest++
	term := o.highest
	o.mutex.Unlock()
	proposer := fmt.Sprintf("%s/%d", o.proxy, o.incarnation)
	primary := o.lastPrimary()
	if before != nil {
		primary = before.primary
	}
	grants := o.fence(ctx, commands, g, term, proposer)
	chosen, ok := promotion.Choose(g, grants, primary, reason == string(promotion.PrimaryCutOff))
	if !ok {
		klog.V(1).InfoS("Term not granted by a majority", "Group", g.Name, "Term", term, "Grants", len(grants))
		return false
	}
	promoted, ok := o.promote(ctx, commands, chosen, term, proposer)
	if !ok {
		return false
	}
	kept := uint64(0)
	if before != nil && chosen.Progress.LogTerm == before.term {
		kept = chosen.Progress.Received
	}
	o.sessions.RaiseFloor(position.Position{Term: term, Log: promoted.Received})
	o.members.Answered(chosen.Member.Name, promoted, o.timer.Now())
	o.acks.ContinueTerm(term, kept)
	o.install(term, chosen.Member.Name)
	o.follow(ctx, commands)
	took := o.timer.Now().Sub(began)
	klog.InfoS("Term raised", "Group", g.Name, "Term", term, "Primary", chosen.Member.Name,
		"Reason", reason, "TookMs", took.Milliseconds())
	if o.observe != nil {
		o.observe(TermChange{Group: g.Name, Term: term, Primary: chosen.Member.Name, Reason: reason, Took: took})
	}
	return true
}

// lastPrimary returns the primary of the highest term observed.
func (o *Owner) lastPrimary() string {
	var name string
	var highest uint64
	for _, m := range o.members.All() {
		if m.Progress.Role == group.Primary && m.Progress.Term >= highest {
			name, highest = m.Member.Name, m.Progress.Term
		}
	}
	return name
}

// fence asks all members at once and returns the grants: all that come within
// a short time after a majority.
func (o *Owner) fence(ctx context.Context, commands *commands, g group.Group, term uint64, proposer string) []promotion.Grant {
	answers := make(chan *promotion.Grant, len(g.Members))
	for _, m := range g.Members {
		o.tasks.GoIsolated("fence "+m.Name, func(context.Context) {
			p, err := commands.run(ctx, m, func(ctx context.Context, c *endpoint.ControlConnection) (group.Progress, error) {
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
	var late <-chan time.Time
	for range g.Members {
		select {
		case <-ctx.Done():
			return grants
		case <-late:
			return grants
		case a := <-answers:
			if a != nil {
				grants = append(grants, *a)
			}
		}
		if len(grants) >= g.Majority() && late == nil {
			s := o.timer.Once(lateGrant)
			defer s.Stop()
			late = s.C()
		}
	}
	return grants
}

// promote promotes the member; a lost answer is asked for again, because the
// command may have taken effect.
func (o *Owner) promote(ctx context.Context, commands *commands, chosen promotion.Grant, term uint64, proposer string) (group.Progress, bool) {
	for range promoteTries {
		p, err := commands.run(ctx, chosen.Member, func(ctx context.Context, c *endpoint.ControlConnection) (group.Progress, error) {
			return c.Promote(ctx, term, proposer)
		})
		if err == nil {
			return p, true
		}
		klog.V(1).InfoS("Promotion failed", "Member", chosen.Member.Name, "Term", term, "Reason", err.Error())
	}
	return group.Progress{}, false
}

// follow tells members that are behind the term in force to follow its
// primary.
func (o *Owner) follow(ctx context.Context, commands *commands) {
	g := o.current()
	if g == nil {
		return
	}
	for _, m := range o.members.All() {
		p := m.Progress
		behind := p.Term < g.term || (p.Term == g.term && p.Role == group.Fenced)
		if m.Member.Name == g.primary || !m.Reachable || !behind {
			continue
		}
		o.tasks.GoIsolated("follow "+m.Member.Name, func(context.Context) {
			_, err := commands.run(ctx, m.Member, func(ctx context.Context, c *endpoint.ControlConnection) (group.Progress, error) {
				return c.Follow(ctx, g.term, g.primary)
			})
			if err != nil {
				klog.V(1).InfoS("Follow failed", "Member", m.Member.Name, "Term", g.term, "Reason", err.Error())
			}
		})
	}
}

// commands holds one control connection a member for commands, apart from
// the one that waits for progress.
type commands struct {
	owner *Owner
	// mutex guards controls. It is a leaf.
	mutex sync.Mutex
	// controls is keyed by the name of the member.
	controls map[string]*command
}

// command is the control of one member; its mutex is held during a command.
type command struct {
	mutex   sync.Mutex
	control *endpoint.ControlConnection
}

func newCommands(o *Owner) *commands {
	return &commands{owner: o, controls: map[string]*command{}}
}

// run runs one command, on a fresh connection if the one at hand has failed.
func (c *commands) run(
	ctx context.Context, m group.Member, f func(context.Context, *endpoint.ControlConnection) (group.Progress, error),
) (group.Progress, error) {
	c.mutex.Lock()
	one, ok := c.controls[m.Name]
	if !ok {
		one = &command{control: endpoint.NewControlConnection(m.Address, c.owner.Group().Name, c.owner.credentials)}
		c.controls[m.Name] = one
	}
	c.mutex.Unlock()
	one.mutex.Lock()
	defer one.mutex.Unlock()
	limited, cancel := context.WithTimeout(ctx, commandTime)
	defer cancel()
	p, err := f(limited, one.control)
	if err != nil && limited.Err() == nil && one.control.Lost() {
		p, err = f(limited, one.control)
	}
	if err == nil {
		c.owner.members.Answered(m.Name, p, c.owner.timer.Now())
		c.owner.noteTerm(p.Term)
	}
	return p, err
}

// close gives all connections up, each once the command that uses it has
// ended. The context of the commands has ended before.
func (c *commands) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, one := range c.controls {
		one.mutex.Lock()
		one.control.Close()
		one.mutex.Unlock()
	}
}
