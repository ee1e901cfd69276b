package journal_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/host/journal"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
)

// stuck is a reader that has stopped: writes to it block until it is freed.
type stuck struct {
	free chan struct{}
	text bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	return s.text.Write(p)
}

func TestAReaderThatHasStoppedDelaysNobody(t *testing.T) {
	target := &stuck{free: make(chan struct{})}
	w := journal.NewWriter(target)
	g := task.New(context.Background())
	g.Go("log", w.Run)
	line := []byte(strings.Repeat("x", 99) + "\n")
	began := time.Now()
	for range 20_000 {
		_, err := w.Write(line)
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(began) < 5*time.Second)
	close(target.free)
	g.Stop()
	_ = g.Wait()
	assert.Assert(t, strings.Contains(target.text.String(), "Log lines dropped"))
	assert.Assert(t, target.text.Len() < 1<<20, "memory is bounded")
}

func TestFailuresAreLoggedWithinABudgetForEachReason(t *testing.T) {
	s := journal.NewSampler(2)
	now := time.Now()
	for i, want := range []bool{true, true, false, false} {
		_, ok := s.Allow(now, "busy")
		assert.Equal(t, ok, want, "%d", i)
	}
	_, ok := s.Allow(now, "lagging")
	assert.Assert(t, ok, "another reason has its own budget")
	omitted, ok := s.Allow(now.Add(time.Second), "busy")
	assert.Assert(t, ok)
	assert.Equal(t, omitted, 2)
}
