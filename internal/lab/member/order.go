package member

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/host/timer"
)

// Order is an order to promote a member of a group. It is immutable.
type Order struct {
	// Member is the ID of the member, and Holder the name of the proxy that sent the order.
	Member, Holder string
	// Token is the fencing token of the order.
	Token uint64
}

// tokens keeps the order with the highest fencing token that a platform has executed or
// refused.
type tokens struct {
	// mutex guards the field below. No other lock is taken while it is held.
	mutex   sync.Mutex
	highest Order
}

// note notes the token of an order, and returns the order with the highest token before.
func (t *tokens) note(o Order) Order {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	highest := t.highest
	if o.Token >= highest.Token {
		t.highest = o
	}
	return highest
}

// ShareTokens makes the group one of the same platform as another: a fencing token is lower
// than an earlier one if any group of the platform has seen a higher one. It must be called
// before the group is used.
func (g *Group) ShareTokens(other *Group) { g.tokens = other.tokens }

// LoweredTokens describes each order with a lower fencing token than an earlier one.
func (g *Group) LoweredTokens() []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return slices.Clone(g.loweredTokens)
}

// Promote makes the ordered member the primary of the next term after PromoteTime. It
// returns at once, or after DelayPromotion, and does nothing if the member is a primary by
// then. With LateLead, it returns once the member leads. It fails if the group has no such
// member, or the member does not run.
func (g *Group) Promote(o Order) error {
	if g.DelayPromotion != nil {
		timer.Sleep(context.Background(), g.DelayPromotion(o))
	}
	next, err := g.admitPromotion(o)
	if next == nil {
		return err
	}
	if g.OnPromotion != nil {
		g.OnPromotion(next)
	}
	late := time.Duration(0)
	if g.LateLead != nil {
		late = g.LateLead()
	}
	if late > 0 {
		timer.Sleep(context.Background(), g.PromoteTime+late)
		g.completePromotion(next)
		return nil
	}
	time.AfterFunc(g.PromoteTime, func() { g.completePromotion(next) })
	return nil
}

// admitPromotion notes the fencing token of an order, validates the order and returns the
// replica to promote, or nil if the member is a primary already. A server learns of a token
// when it reads the order, so a delayed one is noted after those that overtook it.
func (g *Group) admitPromotion(o Order) (*Member, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.noteToken(o)
	if g.OnOrder != nil {
		g.OnOrder(o)
	}
	for _, m := range g.members {
		if m.ID != o.Member {
			continue
		}
		if m.fault.Down || m.fault.Unresponsive {
			return nil, errors.Errorf("promote %s: the member is not running", o.Member)
		}
		if m.primary {
			return nil, nil
		}
		return m, nil
	}
	return nil, errors.Errorf("promote %s: no such member in group %s", o.Member, g.Name)
}

// noteToken records an order whose fencing token is lower than an earlier one. The caller
// holds the mutex.
func (g *Group) noteToken(o Order) {
	if highest := g.tokens.note(o); o.Token < highest.Token {
		g.loweredTokens = append(g.loweredTokens, fmt.Sprintf("%s %s: %s ordered %s with token %d after %s had ordered %s with token %d",
			time.Now().Format("15:04:05.000000"), g.Name, o.Holder, o.Member, o.Token, highest.Holder, highest.Member, highest.Token))
	}
}

// completePromotion makes m the primary of the next term, counts the
// acknowledged commits that it lacks, and makes the reachable members follow it.
func (g *Group) completePromotion(m *Member) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if m.terminated || m.primary {
		return
	}
	newestTerm := uint64(0)
	for _, other := range g.members {
		newestTerm = max(newestTerm, other.term)
	}
	m.term, m.primary, m.suspended = newestTerm+1, true, 0
	g.recordLostCommits(m)
	for _, other := range g.members {
		if other != m && !other.fault.NotReplicating && !other.fault.Down {
			other.follow(m)
		}
	}
	g.announceAll()
	g.changed.Broadcast()
}
