package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/lab/stutter"
	"eelgrassladder.example/eelgrassladder/internal/lab/testbed"
)

// stutterName is the name of the fault of members that answer twice.
const stutterName = "Stutter"

// StutterFaults returns the names of the faults of a run whose members answer twice, also
// while other faults act.
func StutterFaults() []string {
	return strings.Fields("Stutter Stutter Stutter Stutter Stutter Stutter Member Member Primary Primary Lag Restart Relay Relay Process Process Store Join Cut")
}

// stutterer is a relay to a member that can repeat its answers.
type stutterer struct {
	// member is the ID of the member.
	member string
	relay  *stutter.Relay
}

// addStutterer starts a relay to the address of a member that can repeat its answers, and
// returns the address that the relay listens on.
func (n *network) addStutterer(g *task.Group, member, address string) (string, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	added, err := stutter.New(g, address, n.seed+uint64(len(n.stutterers)))
	if err != nil {
		return "", err
	}
	n.stutterers = append(n.stutterers, stutterer{member: member, relay: added})
	return added.Address(), nil
}

// setStutter sets the conditions of all relays to a member that can repeat its answers.
func (n *network) setStutter(member string, c stutter.Conditions) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, s := range n.stutterers {
		if s.member == member {
			s.relay.SetConditions(c)
		}
	}
}

// stopStutter ends the repetition of answers by all members.
func (n *network) stopStutter() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, s := range n.stutterers {
		s.relay.SetConditions(stutter.Conditions{})
	}
}

// stutterFault makes a member repeat a share of its answers: of one kind or of all, at once,
// soon or late. Other faults of the member may act meanwhile.
func (r *runner) stutterFault(random *rand.Rand) fault {
	g, index := r.randomGroup(random), random.IntN(8)
	bounds := [][2]time.Duration{
		{0, 0}, {0, 5 * time.Millisecond}, {5 * time.Millisecond, 100 * time.Millisecond}, {100 * time.Millisecond, 2 * time.Second},
	}[random.IntN(4)]
	kinds := stutter.AllKinds()
	if random.IntN(2) == 0 {
		i := random.IntN(len(kinds))
		kinds = kinds[i : i+1]
	}
	c := stutter.Conditions{
		Share: 0.05 + 0.95*random.Float64(), Kinds: kinds, Shortest: bounds[0], Longest: bounds[1], Refused: 0.2 * float64(random.IntN(2)),
		CurrentReady: index%2 == 0,
	}
	id := ""
	return r.alone(fmt.Sprint("answers of ", g.Name, index), fault{
		name: fmt.Sprintf("member %d of %s repeats %.0f %% of its answers %v after %v to %v, and refuses %.0f %%",
			index, g.Name, 100*c.Share, kinds, c.Shortest, c.Longest, 100*c.Refused),
		duration: time.Duration(500+random.IntN(4000)) * time.Millisecond,
		begin: func() {
			members := g.Members()
			id = members[index%len(members)].ID
			r.network.setStutter(id, c)
		},
		end: func() { r.network.setStutter(id, stutter.Conditions{}) },
	})
}

// stutters reports whether the plan has members that answer twice.
func (p Plan) stutters() bool { return slices.Contains(p.Faults, stutterName) }

// checkSignature checks that a statement was answered with its own signature, which contains
// its ID.
func (c *client) checkSignature(a testbed.Answer) {
	if !strings.Contains(a.Signature, "-"+a.ID+"-") {
		c.run.recordViolation("%s: statement %s got the answer of another one: signature %q, rows %q", c.ledger.item, a.ID, a.Signature, a.Rows)
	}
}
