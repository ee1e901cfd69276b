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

// fakeStore is a store of one key with its history. nextFault decides whether a call
// fails, and whether it takes effect.
type fakeStore struct {
	history []eelgrassladder.Entry
	// nextFault returns the fault of a call: 0 none, 1 fails without an effect, 2
	// fails after taking effect, 3 fails and takes effect at the next call, 4 at the one
	// after that.
	nextFault func() int
	// delayedSwap is the effect of a failed Swap that is due at the next call; nil
	// for none.
	delayedSwap func()
	// beforeCall runs before each call, in place of another operator; may be nil.
	beforeCall func()
}

func (s *fakeStore) current() eelgrassladder.Entry {
	if len(s.history) == 0 {
		return eelgrassladder.Entry{}
	}
	return s.history[len(s.history)-1]
}

var errNoAnswer = errors.New("no answer")

func (s *fakeStore) beginCall() {
	if s.delayedSwap != nil {
		delayed := s.delayedSwap
		s.delayedSwap = nil
		delayed()
	}
	if s.beforeCall != nil {
		s.beforeCall()
	}
}

func (s *fakeStore) Read(context.Context, string) (eelgrassladder.Entry, error) {
	s.beginCall()
	if s.nextFault() != 0 {
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
	s.beginCall()
	switch s.nextFault() {
	case 1:
		return eelgrassladder.Entry{}, errNoAnswer
	case 2:
		_ = s.set(e, expected)
		return eelgrassladder.Entry{}, errNoAnswer
	case 3:
		s.delayedSwap = func() { _ = s.set(e, expected) }
		return eelgrassladder.Entry{}, errNoAnswer
	case 4:
		s.delayedSwap = func() {
			s.delayedSwap = func() { _ = s.set(e, expected) }
		}
		return eelgrassladder.Entry{}, errNoAnswer
	}
	if err := s.set(e, expected); err != nil {
		return eelgrassladder.Entry{}, err
	}
	return s.current(), nil
}

// hasStored reports whether a change has ever been in the store.
func (s *fakeStore) hasStored(changeID string) bool {
	for _, e := range s.history {
		if e.ChangeID == changeID {
			return true
		}
	}
	return false
}

// adopter is an Adopter that stores configurations in a table.
type adopter struct{ versions *configurations.Table }

func (a adopter) Adopt(text string, version uint64, changeID string) bool {
	c, _ := configuration.Parse("test", []byte(text))
	return a.versions.Adopt(c.WithVersion(version, changeID))
}

func (adopter) PushChanges() {}

const configurationText = `{"Classes": [{"Name": "deposits", "Target": {"Share": 0.99, "Within": "1s"}}]}`

// TestTheAnswerToAChangeMatchesTheStore changes the configuration while swaps and reads
// fail, with or without an effect, and other operators make changes too. A change that
// was accepted must be in the store, and one that was refused must never have been.
func TestTheAnswerToAChangeMatchesTheStore(t *testing.T) {
	clock := timer.New()
	tasks := task.New(context.Background())
	tasks.Go("timer", clock.Run)
	t.Cleanup(func() {
		tasks.Stop()
		_ = tasks.Wait()
	})
	ctx := tasks.Context()
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]int{0, 0, 0, 2, 2, 3, 4}), 12, 12).Draw(t, "faults")
		calls, otherChanges := 0, 0
		s := &fakeStore{}
		s.nextFault = func() int { calls++; return faults[calls%len(faults)] }
		s.beforeCall = func() {
			if rapid.IntRange(0, 4).Draw(t, "rival") == 0 && otherChanges < 3 {
				otherChanges++
				_ = s.set(eelgrassladder.Entry{Value: configurationText, ChangeID: fmt.Sprintf("rival-%d", otherChanges)}, s.current().Version)
			}
		}
		versions := configurations.New()
		o := operator.New("token", "a", s, clock, versions, adopter{versions}, nil, burn.New(clock.Now()))
		based := s.current().Version
		v, err := o.Configure(ctx, &generated.ConfigurePayload{Based: based, Text: configurationText, ChangeID: "mine"})
		for s.delayedSwap != nil {
			delayed := s.delayedSwap
			s.delayedSwap = nil
			delayed()
		}
		var conflict generated.Conflict
		switch {
		case err == nil:
			assert.Assert(t, s.hasStored("mine"), "the change was accepted but is not in the store")
			assert.Equal(t, v.ChangeID, "mine")
			assert.Equal(t, versions.Current().Version, v.Version)
		case errors.As(err, &conflict):
			assert.Assert(t, !s.hasStored("mine"), "the change was refused but took effect: %v", err)
		}
	})
}

func TestAnInvalidConfigurationIsNotStored(t *testing.T) {
	s := &fakeStore{nextFault: func() int { return 0 }}
	versions := configurations.New()
	o := operator.New("token", "a", s, timer.NewManual(time.Now()), versions, adopter{versions}, nil, burn.New(time.Now()))
	_, err := o.Configure(context.Background(), &generated.ConfigurePayload{Text: `{"Classes": [], "Weights": 1}`, ChangeID: "mine"})
	var invalid generated.Invalid
	assert.Assert(t, errors.As(err, &invalid))
	assert.Equal(t, len(s.history), 0)
	_, err = o.JWTAuth(context.Background(), "wrong", nil)
	assert.Assert(t, err != nil)
}
