package keyvalue

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/gen/kv"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
)

// TestARestoredStoreHasForgottenWhatTheCopyLacks guards against a simulated drill that is milder than
// the platform's: keys, revisions and leases of the copy are back, and those since are gone.
func TestARestoredStoreHasForgottenWhatTheCopyLacks(t *testing.T) {
	ctx := context.Background()
	s := New()
	s.NameEras()
	kept, err := s.Lease(ctx, &kv.LeasePayload{TTLMs: 60_000})
	assert.NilError(t, err)
	s.Put("a", []byte("old"))
	s.Put("b", []byte("old"))
	older := s.Copy()
	last := s.Put("a", []byte("new"))
	s.Delete("b")
	s.Put("c", []byte("new"))
	lost, err := s.Lease(ctx, &kv.LeasePayload{TTLMs: 60_000})
	assert.NilError(t, err)
	s.Restore(older)
	assert.Equal(t, s.Era(), uint64(2))
	value, _ := s.Value("a")
	assert.Equal(t, string(value), "old")
	value, _ = s.Value("b")
	assert.Equal(t, string(value), "old")
	_, number := s.Value("c")
	assert.Equal(t, number, uint64(0))
	assert.Equal(t, s.Put("d", nil), last, "a revision is given out again")
	assert.NilError(t, s.Keep(ctx, &kv.KeepPayload{Lease: kept.Lease}))
	assert.ErrorIs(t, s.Keep(ctx, &kv.KeepPayload{Lease: lost.Lease}), errNotFound)
	again, err := s.Lease(ctx, &kv.LeasePayload{TTLMs: 60_000})
	assert.NilError(t, err)
	assert.Equal(t, again.Lease, lost.Lease, "the ID of a lease is given out again")
}

// TestAWatchBeyondTheCopyIsRefused guards against a simulated watch that waits for a revision which
// the store gives out again.
func TestAWatchBeyondTheCopyIsRefused(t *testing.T) {
	s := New()
	s.NameEras()
	older := s.Copy()
	after := s.Put("a", nil)
	s.Restore(older)
	_, err := s.Watch(context.Background(), &kv.WatchPayload{After: after, WaitMs: 1000})
	assert.ErrorIs(t, err, errCompacted)
}

// TestAnswersNameTheEra guards against a simulated store that answers a call of one era in the next.
func TestAnswersNameTheEra(t *testing.T) {
	g := task.New(context.Background())
	defer func() {
		g.Stop()
		_ = g.Wait()
	}()
	s := New()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	s.Serve(g, l)
	get := func() (*http.Response, error) {
		r, err := http.Get("http://" + l.Addr().String() + "/kv-range?path-prefix=")
		if err == nil {
			_ = r.Body.Close()
		}
		return r, err
	}
	r, err := get()
	assert.NilError(t, err)
	assert.Equal(t, r.Header.Get(eraHeader), "")
	s.NameEras()
	r, err = get()
	assert.NilError(t, err)
	assert.Equal(t, r.Header.Get(eraHeader), "1")
	s.SetConditions(Conditions{Down: true})
	r, err = get()
	assert.NilError(t, err)
	assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, r.Header.Get(eraHeader), "1", "a refusal names the era too")
	s.SetConditions(Conditions{Delay: 100 * time.Millisecond})
	older := s.Copy()
	timer := time.AfterFunc(30*time.Millisecond, func() { s.Restore(older) })
	defer timer.Stop()
	_, err = get()
	assert.Assert(t, err != nil, "the answer to a call of the former era came")
}

func TestACopyWithoutKeysLeavesTheOthers(t *testing.T) {
	s := New()
	s.Put("a/1", nil)
	s.Put("b/1", nil)
	s.Restore(s.Copy().Without("a/"))
	assert.DeepEqual(t, s.Entries("a/", "b/"), []Entry{{Key: "b/1"}})
}
