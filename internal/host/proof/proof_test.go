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
	"eelgrassladder.example/eelgrassladder/internal/table/work"
	"eelgrassladder.example/eelgrassladder/internal/trade/lead"
	"eelgrassladder.example/eelgrassladder/internal/trade/position"
	"eelgrassladder.example/eelgrassladder/internal/trade/roster"
	"eelgrassladder.example/eelgrassladder/internal/trade/statement"
	"eelgrassladder.example/eelgrassladder/internal/trade/tenure"
)

// runningClock is a boot clock that runs.
type runningClock struct{ began time.Time }

func (c runningClock) Boot() time.Duration { return time.Hour + time.Since(c.began) }

// failingConnector is a Connector that notes the endpoints it is asked for and
// always fails.
type failingConnector struct {
	mutex sync.Mutex
	asked []string
}

func (f *failingConnector) Connect(_ context.Context, e roster.Endpoint) (eelgrassladder.Connection, statement.Reply, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.asked = append(f.asked, e.ID)
	return nil, statement.Reply{}, errors.New("no route")
}

// unavailable is a Records whose store refuses each read.
type unavailable struct{}

func (unavailable) Records(context.Context) (map[string]tenure.Tenure, error) {
	return nil, eelgrassladder.ErrUnavailable
}

func (unavailable) Groups() map[string]bool { return map[string]bool{"g": true} }

// TestAReplicaThatFailedIsAskedLast runs two rounds, in which a different replica
// comes first by turn. The replica that has failed must come last in both.
func TestAReplicaThatFailedIsAskedLast(t *testing.T) {
	g := task.New(context.Background())
	defer func() {
		g.Stop()
		_ = g.Wait()
	}()
	service := timer.New()
	g.Go("timer", service.Run)
	clock := runningClock{time.Now()}
	all := []roster.Endpoint{
		{ID: "p", Group: "g", Slots: 2}, {ID: "q", Group: "g", Slots: 2}, {ID: "r", Group: "g", Slots: 2},
	}
	for round := range 2 {
		table := work.New(service, clock, "here")
		table.SetRoster(roster.New(all...))
		table.SetShares(1, func(string) int { return 4 })
		table.Change("g", func(l lead.Lead) lead.Lead {
			now := clock.Boot()
			l = l.WithPrimary("p", 1, now).WithProof(now - 900*time.Millisecond)
			return l.WithSample(now-100*time.Millisecond, position.Position{Term: 1, Log: 1})
		})
		table.Note("q", work.Outcome{})
		connector := &failingConnector{}
		p := proof.New(service, clock, table, control.NewDialer(service, table, connector), unavailable{}, g,
			func(string) []roster.Endpoint { return all })
		for range round + 1 {
			p.Want("g")
			time.Sleep(100 * time.Millisecond)
		}
		connector.mutex.Lock()
		assert.DeepEqual(t, connector.asked[:2], []string{"r", "q"})
		connector.mutex.Unlock()
	}
}
