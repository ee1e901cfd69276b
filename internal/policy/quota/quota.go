// Package quota decides how the operations of each team are limited over all proxies
// together. The right to run one operation is a token. Tokens of a team are produced at a
// fixed rate at a few proxies, its holders, and are moved between proxies, never copied.
package quota

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/model/team"
	"eelgrassladder.example/eelgrassladder/internal/policy/sharing"
)

// tokensPerHolder is the capacity that each holder of a team has at least, where the team's
// capacity allows more than one holder. With less, most holders would be empty whenever they
// are asked.
const tokensPerHolder = 4

// Bounds says how far the operations of a team may exceed its rate and burst: in any Window
// at most (rate x Window + burst) x (1 + Overrun) + Slack operations may run. It is immutable.
type Bounds struct {
	Window  time.Duration
	Overrun float64
	Slack   float64
}

// DefaultBounds returns the bounds of deployments that set none.
func DefaultBounds() Bounds { return Bounds{Window: 5 * time.Second, Overrun: 0.1, Slack: 20} }

// WithWindow returns the bounds with another window.
func (b Bounds) WithWindow(w time.Duration) Bounds {
	b.Window = w
	return b
}

// WithOverrun returns the bounds with another overrun.
func (b Bounds) WithOverrun(o float64) Bounds {
	b.Overrun = o
	return b
}

// WithSlack returns the bounds with another slack.
func (b Bounds) WithSlack(s float64) Bounds {
	b.Slack = s
	return b
}

// Limit is the limit of one team, over all its holders together. It is immutable.
type Limit struct {
	// Operations is how many operations may run in a window.
	Operations float64
	// Capacity is how many tokens all buckets hold at most, and Rate how many are produced
	// in a second.
	Capacity, Rate float64
}

// Limit returns the limit of a team. An operation may run up to eelgrassladder.QuotaValidity
// after its token was taken, so the operations of a window use the tokens that the buckets
// held, and those that were produced, in the window and this time before it. Their sum is
// Operations.
func (b Bounds) Limit(t team.Team) Limit {
	span := (b.Window + eelgrassladder.QuotaValidity).Seconds()
	operations := (t.Rate*b.Window.Seconds()+t.Burst)*(1+b.Overrun) + b.Slack
	capacity := math.Min(t.Burst*(1+b.Overrun)+b.Slack, operations-span*t.Rate)
	// A bucket that holds less than one token never gives any.
	capacity = math.Min(math.Max(capacity, 1), operations)
	return Limit{Operations: operations, Capacity: capacity, Rate: (operations - capacity) / span}
}

// Holders returns the number of holders among a number of proxies.
func (l Limit) Holders(proxies int) int {
	return min(proxies, max(1, int(math.Min(l.Capacity/tokensPerHolder, float64(proxies)))))
}

// Share is what one proxy produces of a team's tokens; zero if it is not a holder. It is
// immutable.
type Share struct {
	// Capacity is how many tokens the proxy holds at most, and Rate how many it produces in
	// a second.
	Capacity, Rate float64
}

// Plan is what one proxy does for a team. It is immutable.
type Plan struct {
	Limit Limit
	// Share is what this proxy produces.
	Share Share
	// Lenders are the names of the other holders. They are never modified.
	Lenders []string
}

// NewPlan returns the plan of the proxy self for a team with a limit. The holders are the
// proxies with the highest rendezvous hashes for the team's name.
func NewPlan(l Limit, teamName, self string, fleet sharing.Fleet) Plan {
	holders := fleet.Highest(l.Holders(fleet.Size()), teamName)
	p := Plan{Limit: l, Lenders: make([]string, 0, len(holders))}
	for _, name := range holders {
		if name == self {
			p.Share = Share{Capacity: l.Capacity / float64(len(holders)), Rate: l.Rate / float64(len(holders))}
			continue
		}
		p.Lenders = append(p.Lenders, name)
	}
	if len(p.Lenders) > 0 {
		// Each proxy begins elsewhere, so that those that begin at the same time do not follow
		// one another from lender to lender.
		first := int(xxhash.Sum64String(self+"\x00"+teamName) % uint64(len(p.Lenders)))
		p.Lenders = slices.Concat(p.Lenders[first:], p.Lenders[:first])
	}
	return p
}
