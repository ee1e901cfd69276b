package leader_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
)

// start is the boot time at which the tests begin.
const start = time.Hour

// at returns the boot time that many milliseconds after start.
func at(ms int) time.Duration { return start + time.Duration(ms)*time.Millisecond }

func positionAt(n uint64) position.Position { return position.Position{Term: 1, Log: n} }

func TestASampleCountsOnlyIfThePrimaryIsProven(t *testing.T) {
	l := leader.State{}.WithPrimary("a", 1, at(0)).WithSample(at(1), positionAt(5))
	_, ok := l.PositionCovering(at(0))
	assert.Assert(t, !ok)
	l = l.WithProof(at(10)).WithSample(at(1), positionAt(5))
	p, ok := l.PositionCovering(at(0))
	assert.Assert(t, ok)
	assert.Equal(t, p, positionAt(5))
}

func TestAnAnswerCountsOnceItsProofArrives(t *testing.T) {
	l := leader.State{}.WithPrimary("a", 1, at(0)).WithAnswer(at(1), positionAt(5))
	_, ok := l.PositionCovering(at(0))
	assert.Assert(t, !ok)
	p, ok := l.WithProof(at(20)).PositionCovering(at(0))
	assert.Assert(t, ok)
	assert.Equal(t, p, positionAt(5))
}

func TestANewPrimaryDropsProofAndSamples(t *testing.T) {
	l := leader.State{}.WithPrimary("a", 1, at(0)).WithProof(at(1)).WithSample(at(1), positionAt(5))
	next := l.WithPrimary("b", 2, at(10))
	assert.Assert(t, !next.ProvenAt(at(11)))
	_, ok := next.PositionCovering(at(0))
	assert.Assert(t, !ok)
	closed := l.WithClosed(at(10))
	assert.Assert(t, !closed.Open())
	p, ok := closed.PositionCovering(at(0))
	assert.Assert(t, ok, "samples stay valid after the primary is closed")
	assert.Equal(t, p, positionAt(5))
}

func TestAProofExpires(t *testing.T) {
	l := leader.State{}.WithPrimary("a", 1, at(0)).WithProof(at(0))
	assert.Assert(t, l.ProvenAt(at(799)))
	assert.Assert(t, !l.ProvenAt(at(800)))
	assert.Assert(t, l.ProofExpiring(at(600)))
	assert.Assert(t, !l.ProofExpiring(at(100)))
}

// TestPositionCoveringUsesNoSampleFromBeforeTheTime guards against a read that does not see
// commits acknowledged before the time: a sample asked for earlier need not cover them.
// The position of each sample holds the time at which it was asked for.
func TestPositionCoveringUsesNoSampleFromBeforeTheTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := leader.State{}.WithPrimary("a", 1, at(0))
		now, entries := 0, uint64(1)
		for range rapid.IntRange(1, 200).Draw(t, "samples") {
			now += rapid.IntRange(0, 200).Draw(t, "pause")
			entries += uint64(rapid.IntRange(0, 3).Draw(t, "commits"))
			l = l.WithProof(at(now)).WithSample(at(now), position.Position{Term: 1, Log: entries*1_000_000 + uint64(now)})
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
