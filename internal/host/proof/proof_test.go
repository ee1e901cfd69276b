package proof_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/control"
	"eelgrassladder.example/eelgrassladder/internal/host/proof"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	"eelgrassladder.example/eelgrassladder/internal/policy/sharing"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

// runningClock is a boot clock that follows the host's clock.
type runningClock struct{ began time.Time }

func (c runningClock) SinceBoot() time.Duration { return time.Hour + time.Since(c.began) }

// failingConnector is a Connector that always fails and keeps the IDs of the endpoints it
// was asked for.
type failingConnector struct {
	mutex sync.Mutex
	asked []string
}

func (f *failingConnector) Connect(_ context.Context, e topology.Endpoint, _ string) (eelgrassladder.Connection, statement.Reply, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.asked = append(f.asked, e.ID)
	return nil, statement.Reply{}, errors.New("no route")
}

// unavailableRecords is a Records whose store refuses each read.
type unavailableRecords struct{}

func (unavailableRecords) Records(context.Context) (map[string]leadership.Record, error) {
	return nil, eelgrassladder.ErrUnavailable
}

func (unavailableRecords) Record(group string) leadership.Record {
	return leadership.Record{Group: group}
}

func (unavailableRecords) Era() uint64 { return 0 }

func (unavailableRecords) Proxies() map[string]string { return nil }

func (unavailableRecords) WasRegistered() bool { return true }

func (unavailableRecords) Groups() map[string]bool { return map[string]bool{"g": true} }

// TestAReplicaThatFailedIsAskedLast guards against a round that waits for a failing
// replica while a healthy one could give the proof. It checks rounds in which one or the
// other replica would come first by turn; the one that has failed must come last in both.
func TestAReplicaThatFailedIsAskedLast(t *testing.T) {
	g := task.New(context.Background())
	defer func() {
		g.Stop()
		_ = g.Wait()
	}()
	timers := timer.New()
	g.Go("timer", timers.Run)
	clock := runningClock{time.Now()}
	endpoints := []topology.Endpoint{
		{ID: "p", Group: "g", Slots: 2}, {ID: "q", Group: "g", Slots: 2}, {ID: "r", Group: "g", Slots: 2},
	}
	for round := range 2 {
		table := scheduler.New(timers, clock, "here")
		table.SetEndpoints(topology.New(endpoints...))
		table.SetShares(sharing.NewFleet("self"), func(string) int { return 4 })
		table.UpdateLeader("g", func(l leader.State) leader.State {
			now := clock.SinceBoot()
			l = l.WithPrimary("p", 1, now).WithRecordOpen(now).WithProof(now - leader.ProofLifetime + 100*time.Millisecond)
			return l.WithSample(now-100*time.Millisecond, position.Position{Term: 1, Log: 1})
		})
		table.Observe("q", scheduler.Outcome{})
		connector := &failingConnector{}
		p := proof.New(timers, clock, table, control.NewDialer(timers, table, connector), unavailableRecords{}, g,
			func(string) []topology.Endpoint { return endpoints })
		for range round + 1 {
			p.Probe("g")
			time.Sleep(100 * time.Millisecond)
		}
		connector.mutex.Lock()
		assert.DeepEqual(t, connector.asked[:2], []string{"r", "q"})
		connector.mutex.Unlock()
	}
}
