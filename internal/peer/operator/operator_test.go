package operator_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrassladder.example/eelgrassladder"
	generated "eelgrassladder.example/eelgrassladder/gen/operator"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/configuration"
	"eelgrassladder.example/eelgrassladder/internal/peer/operator"
	"eelgrassladder.example/eelgrassladder/internal/table/burn"
	"eelgrassladder.example/eelgrassladder/internal/table/configurations"
)

// fakeStore keeps the whole history, and fails calls before or after their
// effect as it is told.
type fakeStore struct {
	history []eelgrassladder.Entry
	// faults are drawn for each call: 0 none, 1 fails without an effect, 2
	// fails after the effect, 3 takes effect at the next call.
	fault   func() int
	delayed func()
	// between runs before each call, as a racing operator.
	between func()
}

func (s *fakeStore) current() eelgrassladder.Entry {
	if len(s.history) == 0 {
		return eelgrassladder.Entry{}
	}
	return s.history[len(s.history)-1]
}

var errNoAnswer = errors.New("no answer")

func (s *fakeStore) enter() {
	if s.delayed != nil {
		late := s.delayed
		s.delayed = nil
		late()
	}
	if s.between != nil {
		s.between()
	}
}

func (s *fakeStore) Read(context.Context, string) (eelgrassladder.Entry, error) {
	s.enter()
	if s.fault() != 0 {
		return eelgrassladder.Entry{}, errNoAnswer
	}
	return s.current(), nil
}

func (s *fakeStore) Watch(ctx context.Context, key string, _ uint64, _ time.Duration) (eelgrassladder.Entry, error) {
	return s.Read(ctx, key)
}

func (s *fakeStore) set(e eelgrassladder.Entry, expected uint64) error {
	if s.current().Version != expected {
		return eelgrassladder.ErrConflict
	}
	e.Version = expected + 1
	s.history = append(s.history, e)
	return nil
}

func (s *fakeStore) Swap(_ context.Context, e eelgrassladder.Entry, expected uint64) (eelgrassladder.Entry, error) {
	s.enter()
	switch s.fault() {
	case 1:
		return eelgrassladder.Entry{}, errNoAnswer
	case 2:
		_ = s.set(e, expected)
		return eelgrassladder.Entry{}, errNoAnswer
	case 3:
		s.delayed = func() { _ = s.set(e, expected) }
		return eelgrassladder.Entry{}, errNoAnswer
	}
	if err := s.set(e, expected); err != nil {
		return eelgrassladder.Entry{}, err
	}
	return s.current(), nil
}

// holds reports whether a change was ever in the store.
func (s *fakeStore) holds(changeID string) bool {
	for _, e := range s.history {
		if e.ChangeID == changeID {
			return true
		}
	}
	return false
}

// adopter puts configurations into a table.
type adopter struct{ versions *configurations.Table }

func (a adopter) Adopt(text string, version uint64, changeID string) bool {
	c, _ := configuration.Parse("test", []byte(text))
	return a.versions.Adopt(c.WithVersion(version, changeID))
}

func (adopter) PushChanges() {}

const text = `{"Classes": [{"Name": "deposits", "Target": {"Share": 0.99, "Within": "1s"}}]}`

func TestWhatOperatorsAreToldIsTrue(t *testing.T) {
	clock := timer.New()
	tasks := task.New(context.Background())
	tasks.Go("timer", clock.Run)
	t.Cleanup(func() {
		tasks.Stop()
		_ = tasks.Wait()
	})
	ctx := tasks.Context()
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]int{0, 0, 0, 2, 2, 3}), 12, 12).Draw(t, "faults")
		at, rivals := 0, 0
		s := &fakeStore{}
		s.fault = func() int { at++; return faults[at%len(faults)] }
		s.between = func() {
			if rapid.IntRange(0, 4).Draw(t, "rival") == 0 && rivals < 3 {
				rivals++
				_ = s.set(eelgrassladder.Entry{Value: text, ChangeID: fmt.Sprintf("rival-%d", rivals)}, s.current().Version)
			}
		}
		versions := configurations.New()
		o := operator.New("token", "a", s, clock, versions, adopter{versions}, nil, burn.New(clock.Now()))
		based := s.current().Version
		v, err := o.Configure(ctx, &generated.ConfigurePayload{Based: based, Text: text, ChangeID: "mine"})
		if s.delayed != nil {
			s.delayed()
		}
		var conflict generated.Conflict
		switch {
		case err == nil:
			assert.Assert(t, s.holds("mine"), "accepted, and not in the store")
			assert.Equal(t, v.ChangeID, "mine")
			assert.Equal(t, versions.Current().Version, v.Version)
		case errors.As(err, &conflict):
			assert.Assert(t, !s.holds("mine"), "refused, and it took effect: %v", err)
		}
	})
}

func TestFindingsAreToldTogetherAndNothingIsStored(t *testing.T) {
	s := &fakeStore{fault: func() int { return 0 }}
	versions := configurations.New()
	o := operator.New("token", "a", s, timer.NewManual(time.Now()), versions, adopter{versions}, nil, burn.New(time.Now()))
	_, err := o.Configure(context.Background(), &generated.ConfigurePayload{Text: `{"Classes": [], "Weights": 1}`, ChangeID: "mine"})
	var invalid generated.Invalid
	assert.Assert(t, errors.As(err, &invalid))
	assert.Equal(t, len(s.history), 0)
	_, err = o.JWTAuth(context.Background(), "wrong", nil)
	assert.Assert(t, err != nil)
}
