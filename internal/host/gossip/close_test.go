package gossip

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/heartbeat"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

// TestAnAnswerToAClosedRecordCoversTheReportedCommits guards against a commit that is
// reported to its client in the grace time after the record was closed, and that the change
// of primary does not know of.
func TestAnAnswerToAClosedRecordCoversTheReportedCommits(t *testing.T) {
	g := task.New(context.Background())
	timers := timer.New()
	g.Go("timer", timers.Run)
	defer func() {
		g.Stop()
		_ = g.Wait()
	}()
	p := newFakeProxy(1)
	p.gossip.timer = timers
	reported := position.Position{Term: 1, Log: 5}
	g.Go("commit", func(ctx context.Context) error {
		timer.Pause(ctx, timers, leader.CommitGrace/4)
		p.gossip.table.UpdateLeader("group-0", func(l leader.State) leader.State {
			return l.WithAcknowledged(leader.Acknowledged{Position: reported, Observed: true})
		})
		return nil
	})
	began := time.Now()
	answer, err := p.gossip.AnswerClose(context.Background(), heartbeat.Record{Group: "group-0", Revision: 7})
	assert.NilError(t, err)
	assert.Assert(t, time.Since(began) >= leader.CommitGrace)
	assert.Equal(t, answer.Acknowledged, reported)
}

// TestARecordThatIsNotAdoptedIsNotAnswered guards against a change of primary that takes a
// proxy for informed which does not know of the change.
func TestARecordThatIsNotAdoptedIsNotAnswered(t *testing.T) {
	p := &connectedProxy{name: "p"} // adopts nothing
	p.gossip = New(timer.NewManual(time.Unix(1000, 0)), fixedClock{}, nil, p, p)
	_, err := p.gossip.AnswerClose(context.Background(), heartbeat.Record{Group: "g", Revision: 7})
	assert.ErrorContains(t, err, "not adopted")
}
