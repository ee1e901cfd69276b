package leader_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

const start = time.Hour

func at(ms int) time.Duration { return start + time.Duration(ms)*time.Millisecond }

func place(n uint64) position.Position { return position.Position{Term: 1, Log: n} }

func TestAPositionWithoutAProofIsNotKept(t *testing.T) {
	l := leader.State{}.WithPrimary("a", 1, at(0)).WithSample(at(1), place(5))
	_, ok := l.PositionCovering(at(0))
	assert.Assert(t, !ok)
	l = l.WithProof(at(10)).WithSample(at(1), place(5))
	p, ok := l.PositionCovering(at(0))
	assert.Assert(t, ok)
	assert.Equal(t, p, place(5))
}

func TestAPositionWaitsForItsProof(t *testing.T) {
	l := leader.State{}.WithPrimary("a", 1, at(0)).WithAnswer(at(1), place(5))
	_, ok := l.PositionCovering(at(0))
	assert.Assert(t, !ok)
	p, ok := l.WithProof(at(20)).PositionCovering(at(0))
	assert.Assert(t, ok)
	assert.Equal(t, p, place(5))
}

func TestAnotherPrimaryDropsWhatWasKnown(t *testing.T) {
	l := leader.State{}.WithPrimary("a", 1, at(0)).WithProof(at(1)).WithSample(at(1), place(5))
	next := l.WithPrimary("b", 2, at(10))
	assert.Assert(t, !next.ProvenAt(at(11)))
	_, ok := next.PositionCovering(at(0))
	assert.Assert(t, !ok)
	closed := l.WithClosed(at(10))
	assert.Assert(t, !closed.Open())
	p, ok := closed.PositionCovering(at(0))
	assert.Assert(t, ok, "what was certain stays certain")
	assert.Equal(t, p, place(5))
}

func TestAProofEnds(t *testing.T) {
	l := leader.State{}.WithPrimary("a", 1, at(0)).WithProof(at(0))
	assert.Assert(t, l.ProvenAt(at(999)))
	assert.Assert(t, !l.ProvenAt(at(1000)))
	assert.Assert(t, l.ProofExpiring(at(800)))
	assert.Assert(t, !l.ProofExpiring(at(100)))
}

// TestABoundCoversAllEarlierCommits checks that the position for a time is
// one that was asked for no earlier, and the earliest of those.
func TestABoundCoversAllEarlierCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := leader.State{}.WithPrimary("a", 1, at(0))
		now, log := 0, uint64(1)
		for range rapid.IntRange(1, 200).Draw(t, "samples") {
			now += rapid.IntRange(0, 200).Draw(t, "pause")
			log += uint64(rapid.IntRange(0, 3).Draw(t, "commits"))
			l = l.WithProof(at(now)).WithSample(at(now), position.Position{Term: 1, Log: log*1_000_000 + uint64(now)})
		}
		since := rapid.IntRange(0, now+100).Draw(t, "since")
		p, ok := l.PositionCovering(at(since))
		if !ok {
			assert.Assert(t, l.LastSampleTime() < at(since))
			return
		}
		asked := int(p.Log % 1_000_000)
		assert.Assert(t, asked >= since, "position of %d for %d", asked, since)
	})
}
