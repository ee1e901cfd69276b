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
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

// boot is a boot clock.
type boot struct{ began time.Time }

func (b boot) SinceBoot() time.Duration { return time.Hour + time.Since(b.began) }

// dialer is a Connector that notes whom it is asked to connect to and fails.
type dialer struct {
	mutex sync.Mutex
	asked []string
}

func (d *dialer) Connect(_ context.Context, e topology.Endpoint) (eelgrassladder.Connection, statement.Reply, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.asked = append(d.asked, e.ID)
	return nil, statement.Reply{}, errors.New("no route")
}

// ledger is a Ledger that the store refuses to.
type ledger struct{}

func (ledger) Records(context.Context) (map[string]leadership.Record, error) {
	return nil, eelgrassladder.ErrUnavailable
}

func (ledger) Groups() map[string]bool { return map[string]bool{"g": true} }

// TestAReplicaThatFailedIsAskedLast asks for a proof twice, so that each
// replica has the first turn once; the one that has failed comes last in both.
func TestAReplicaThatFailedIsAskedLast(t *testing.T) {
	g := task.New(context.Background())
	defer func() {
		g.Stop()
		_ = g.Wait()
	}()
	service := timer.New()
	g.Go("timer", service.Run)
	clock := boot{time.Now()}
	all := []topology.Endpoint{
		{ID: "p", Group: "g", Slots: 2}, {ID: "q", Group: "g", Slots: 2}, {ID: "r", Group: "g", Slots: 2},
	}
	for turn := range 2 {
		table := scheduler.New(service, clock, "here")
		table.SetRoster(topology.New(all...))
		table.SetShares(1, func(string) int { return 4 })
		table.UpdateLeader("g", func(l leader.State) leader.State {
			now := clock.SinceBoot()
			l = l.WithPrimary("p", 1, now).WithProof(now - 900*time.Millisecond)
			return l.WithSample(now-100*time.Millisecond, position.Position{Term: 1, Log: 1})
		})
		table.Observe("q", scheduler.Outcome{})
		d := &dialer{}
		p := proof.New(service, clock, table, control.NewDialer(service, table, d), ledger{}, g,
			func(string) []topology.Endpoint { return all })
		for range turn + 1 {
			p.Probe("g")
			time.Sleep(100 * time.Millisecond)
		}
		d.mutex.Lock()
		assert.DeepEqual(t, d.asked[:2], []string{"r", "q"})
		d.mutex.Unlock()
	}
}
