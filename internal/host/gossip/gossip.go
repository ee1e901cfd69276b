// Package gossip exchanges state with the other proxies: the configuration, the
// records of primaries, proofs of primaries, and acknowledged positions. A proxy
// whose calls the store refuses, or that cannot reach some endpoints, still learns
// of them this way.
package gossip

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/heartbeat"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

const (
	// interval is the pause between two exchanges. Each exchange is with the next
	// partner in turn, so a change takes several exchanges to reach all proxies. With
	// more than fewProxies other proxies the pause is shortInterval, so that proofs are
	// still young enough on arrival to save requests to endpoints.
	interval      = 300 * time.Millisecond
	shortInterval = 150 * time.Millisecond
	fewProxies    = 8
	// exchangeTimeout is the timeout of one exchange.
	exchangeTimeout = 600 * time.Millisecond
	// maxReports is the maximum number of reports in an answer, of some 60 bytes each.
	// If there are more groups, an answer reports random ones of them.
	maxReports = 128
)

// Exchanger sends a message to the proxy at an address and returns its answer.
type Exchanger interface {
	Exchange(ctx context.Context, address string, m heartbeat.Message) (heartbeat.Message, error)
	// CloseExcept closes the connections to all addresses that are not in the set.
	CloseExcept(addresses map[string]bool)
}

// ClusterState is the state of the system as this process knows it.
type ClusterState interface {
	// Groups returns the names of the groups that at least one route uses.
	Groups() map[string]bool
	// Name returns the name of this proxy.
	Name() string
	// Proxies returns the addresses of the other proxies by name.
	Proxies() map[string]string
	// Record returns the latest known record of a group in the store.
	Record(group string) leadership.Record
	// Message returns the message to send to other proxies, without reports of
	// primaries and without the text of the configuration.
	Message() heartbeat.Message
	// AddConfiguration adds the text of the configuration to a message if the
	// receiver's version is older.
	AddConfiguration(m heartbeat.Message, receiverVersion uint64) heartbeat.Message
	// Receive adopts the configuration and the records in a message from another
	// proxy. It ignores the reports of primaries.
	Receive(m heartbeat.Message)
}

// Gossip exchanges messages with other proxies. Use New, then Run.
type Gossip struct {
	timer     eelgrassladder.Timer
	clock     eelgrassladder.Clock
	table     *scheduler.Table
	exchanger Exchanger
	state     ClusterState
	// turn counts the exchanges; it determines the partner of the next one. Only Run
	// uses it.
	turn int
	// answerDigests holds the digest of the last answer of each partner, by name. Only
	// Run uses it.
	answerDigests map[string]uint64
}

// New returns a Gossip with the other registered proxies. It reads what it reports of
// primaries from the table, and writes what it learns of them to the table.
func New(t eelgrassladder.Timer, c eelgrassladder.Clock, table *scheduler.Table, x Exchanger, s ClusterState) *Gossip {
	return &Gossip{timer: t, clock: c, table: table, exchanger: x, state: s, answerDigests: map[string]uint64{}}
}

// Run exchanges messages until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := interval
		if len(g.state.Proxies()) > fewProxies {
			wait = shortInterval
		}
		timer.Pause(ctx, g.timer, wait)
		g.exchange(ctx)
	}
	return ctx.Err()
}

// Answer adopts what a message says and returns the answer to it. Only answers contain
// the text of a configuration, because the receiver's version is known only then; the
// text is not sent to a proxy that has it.
func (g *Gossip) Answer(m heartbeat.Message) heartbeat.Message {
	g.state.Receive(m)
	answer := g.state.AddConfiguration(g.state.Message().ForReceiver(m.Digest), m.RoutesVersion)
	answer.Primaries = g.reports()
	return answer
}

// AnswerClose adopts the closed record of a group. Commits that the old primary
// acknowledges are reported to clients for leader.CommitGrace more; AnswerClose waits that
// long, so that the position in its report covers all of them.
func (g *Gossip) AnswerClose(ctx context.Context, r heartbeat.Record) (heartbeat.PrimaryReport, error) {
	g.state.Receive(heartbeat.Message{Records: []heartbeat.Record{r}})
	if known := g.state.Record(r.Group).Revision; known < r.Revision {
		return heartbeat.PrimaryReport{}, errors.Errorf("the record of group %q at revision %d was not adopted", r.Group, r.Revision)
	}
	timer.Pause(ctx, g.timer, leader.CommitGrace)
	now := g.clock.SinceBoot()
	answer, _ := report(r.Group, g.table.Leader(r.Group), now)
	return answer, ctx.Err()
}

// exchange exchanges messages with the partner whose turn it is.
func (g *Gossip) exchange(ctx context.Context) {
	name, address := g.nextPartner()
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sent := g.clock.SinceBoot()
	answer, err := g.exchanger.Exchange(ctx, address, g.state.Message().ForReceiver(g.answerDigests[name]))
	if err != nil {
		delete(g.answerDigests, name)
		klog.V(1).InfoS("Heartbeat was not answered", "Proxy", name, "Address", address, "Error", err.Error())
		return
	}
	g.answerDigests[name] = answer.Digest
	g.state.Receive(answer)
	g.learn(answer, sent)
}

// nextPartner returns the name and the address of the partner whose turn it is, or empty
// texts if there is no other proxy. It drops the connections to former partners.
func (g *Gossip) nextPartner() (name, address string) {
	proxies := g.state.Proxies()
	chosen := partners(g.state.Name(), proxies)
	if len(chosen) == 0 {
		return "", ""
	}
	addresses := make(map[string]bool, len(chosen))
	for _, p := range chosen {
		addresses[proxies[p]] = true
	}
	g.exchanger.CloseExcept(addresses)
	maps.DeleteFunc(g.answerDigests, func(name string, _ uint64) bool { return !slices.Contains(chosen, name) })
	g.turn++
	name = chosen[g.turn%len(chosen)]
	return name, proxies[name]
}

// reports returns a report for each group of which this proxy has a valid proof or knows
// an acknowledged position, but only for maxReports random ones if there are more.
func (g *Gossip) reports() []heartbeat.PrimaryReport {
	now := g.clock.SinceBoot()
	var found []heartbeat.PrimaryReport
	for group := range g.state.Groups() {
		if r, ok := report(group, g.table.Leader(group), now); ok {
			found = append(found, r)
		}
	}
	if len(found) > maxReports {
		rand.Shuffle(len(found), func(i, k int) { found[i], found[k] = found[k], found[i] })
		found = found[:maxReports]
	}
	return found
}

// report returns the report for a group, and whether there is anything to report.
func report(group string, l leader.State, now time.Duration) (heartbeat.PrimaryReport, bool) {
	r := heartbeat.PrimaryReport{Group: group, ProofAge: -1, RecordAge: -1}
	if age, known := l.RecordAge(now); known && l.Open() {
		r.RecordRevision, r.RecordAge = l.Recorded.Revision, age
	}
	if l.Acknowledged.Observed {
		r.Acknowledged, r.AcknowledgedAge = l.Acknowledged.Position, now-l.Acknowledged.At
	}
	if !l.Open() || !l.ProvenAt(now) {
		return r, l.Acknowledged.Observed
	}
	r.Endpoint, r.Term, r.ProofAge = l.Endpoint, l.Term, now-l.Proven
	if asked, p, ok := l.LastSample(); ok {
		r.PositionAge, r.Position = now-asked, p
	}
	return r, true
}

// learn writes the reports in an answer to the table. Sent is the boot time at which the
// message was sent to which this is the answer. The partner computed the ages in its
// reports after that, so subtracting them from sent gives times that are never too late.
func (g *Gossip) learn(m heartbeat.Message, sent time.Duration) {
	for _, r := range m.Primaries {
		g.table.UpdateLeader(r.Group, func(l leader.State) leader.State {
			l = l.WithReported(r.Acknowledged, m.Sender, sent-r.AcknowledgedAge)
			return withReport(withRecordReport(l, r, sent), r, sent)
		})
	}
}

// withRecordReport returns l with what a report says of the group's record, if the record
// of the same revision applies here.
func withRecordReport(l leader.State, r heartbeat.PrimaryReport, sent time.Duration) leader.State {
	if r.RecordAge < 0 || !l.Open() || l.Recorded.Revision != r.RecordRevision {
		return l
	}
	return l.WithRecordOpen(sent - r.RecordAge)
}

// withReport returns l with the proof and the position of a report, if the report
// is about the same primary and term.
func withReport(l leader.State, r heartbeat.PrimaryReport, sent time.Duration) leader.State {
	if r.ProofAge < 0 || r.PositionAge < 0 || r.Term == 0 || l.Endpoint != r.Endpoint || !l.Open() {
		return l
	}
	if l.Term == 0 {
		l = l.WithTerm(r.Term)
	}
	if l.Term != r.Term {
		return l
	}
	l = l.WithProof(sent - r.ProofAge)
	if r.Position.IsZero() {
		return l
	}
	return l.WithSample(sent-r.PositionAge, r.Position)
}
