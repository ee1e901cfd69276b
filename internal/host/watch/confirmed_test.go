package watch

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/revision"
	"eelgrassladder.example/eelgrassladder/internal/policy/sharing"
)

// slowStore is a store whose calls take a second, and a boot clock that only they move.
type slowStore struct {
	eelgrassladder.KeyValue
	now   time.Duration
	err   error
	items []eelgrassladder.Item
}

func (s *slowStore) SinceBoot() time.Duration { return s.now }

func (s *slowStore) Range(context.Context, string) ([]eelgrassladder.Item, revision.Revision, error) {
	s.now += time.Second
	return s.items, 7, s.err
}

func (s *slowStore) Watch(context.Context, string, revision.Revision, time.Duration) ([]eelgrassladder.Item, revision.Revision, error) {
	s.now += time.Second
	return s.items, 7, s.err
}

// recorder is a sink that keeps the calls of its methods in order.
type recorder struct {
	calls []string
}

func (r *recorder) Reset([]eelgrassladder.Item, revision.Revision) {
	r.calls = append(r.calls, "Reset")
}
func (r *recorder) Changed([]eelgrassladder.Item) { r.calls = append(r.calls, "Changed") }
func (r *recorder) Confirmed(asked time.Duration) { r.calls = append(r.calls, asked.String()) }
func (r *recorder) Disconnected(error)            {}
func (r *recorder) Reconnected()                  {}

// TestAnAnswerConfirmsWhatWasKnownWhenItsCallWasSent guards against knowledge that counts
// from when an answer came: a change may have been made while it was under way.
func TestAnAnswerConfirmsWhatWasKnownWhenItsCallWasSent(t *testing.T) {
	store, sink := &slowStore{now: time.Hour}, &recorder{}
	ended, cancel := context.WithCancel(context.Background())
	cancel() // pauses end at once
	w := New(store, timer.NewManual(time.Unix(1000, 0)), store, "", sink, func() sharing.Fleet { return sharing.NewFleet("self") })
	assert.NilError(t, w.callOnce(ended))
	assert.NilError(t, w.callOnce(ended))
	store.items = []eelgrassladder.Item{{Key: "k"}}
	assert.NilError(t, w.callOnce(ended))
	store.err = errors.New("refused")
	assert.ErrorContains(t, w.callOnce(ended), "refused")
	assert.DeepEqual(t, sink.calls, []string{"Reset", "1h0m0s", "1h0m1s", "Changed", "1h0m2s"})
}
