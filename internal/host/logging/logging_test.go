package logging_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/host/logging"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
)

// blockedWriter is a writer whose Write blocks until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	text    bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.unblock
	return b.text.Write(p)
}

// Guards against a process that stops because nobody reads its log, and against a
// buffer that grows without limit meanwhile.
func TestABlockedReaderDoesNotBlockLogging(t *testing.T) {
	target := &blockedWriter{unblock: make(chan struct{})}
	w := logging.NewWriter(target)
	g := task.New(context.Background())
	g.Go("log", w.Run)
	line := []byte(strings.Repeat("x", 99) + "\n")
	began := time.Now()
	// 20,000 lines of 100 bytes, 2 MB, are far more than the writer's limit of pending
	// bytes, 256 KiB.
	for range 20_000 {
		_, err := w.Write(line)
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(began) < 5*time.Second)
	close(target.unblock)
	g.Stop()
	_ = g.Wait()
	assert.Assert(t, strings.Contains(target.text.String(), "Log lines dropped"))
	assert.Assert(t, target.text.Len() < 1<<20, "the buffer is not bounded")
}

func TestSamplerLimitsTheLinesOfEachReasonSeparately(t *testing.T) {
	sampler := logging.NewSampler(2)
	now := time.Now()
	for i, want := range []bool{true, true, false, false} {
		_, allowed := sampler.Allow(now, "busy")
		assert.Equal(t, allowed, want, "line %d", i)
	}
	_, allowed := sampler.Allow(now, "lagging")
	assert.Assert(t, allowed, "the limit of one reason applied to another")
	omitted, allowed := sampler.Allow(now.Add(time.Second), "busy")
	assert.Assert(t, allowed)
	assert.Equal(t, omitted, 2)
}

func TestErrorsThatDifferOnlyInNumbersHaveTheSamePattern(t *testing.T) {
	for _, test := range []struct {
		text, other string
		same        bool
	}{
		{"read tcp4 10.0.0.9:40001->10.0.0.1:8509: i/o timeout", "read tcp4 10.0.0.9:40002->10.0.0.1:8509: i/o timeout", true},
		{"endpoint i-1 lags by only 1.2s", "endpoint i-1 lags by only 87ms", true},
		{"no member holds 1.18: [m1=1.14 m2=1.15]", "no member holds 2.19: [m2=2.17 m1=1.14]", true},
		{"no member holds 1.18: [m1=1.14 m2=1.15]", "no member holds 1.18: [m1=1.14]", false},
		{"endpoint i-1a2b is gone", "endpoint i-1a2c is gone", false},
		{"proxy front-1 holds the promotion lock", "proxy front-2 holds the promotion lock", false},
		{"connection refused", "i/o timeout", false},
	} {
		assert.Equal(t, logging.ErrorPattern(test.text) == logging.ErrorPattern(test.other), test.same, "%s; %s", test.text, test.other)
	}
}
