// Package configurations is the table of the configuration versions that this
// proxy has seen in force.
package configurations

import (
	"slices"

	"eelgrassladder.example/eelgrassladder/internal/model/configuration"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
)

// historyLimit is how many versions are remembered.
const historyLimit = 32

// Table holds the version in force, which only grows. Its rank is
// Configurations.
type Table struct {
	mutex *lockrank.Mutex
	// history holds the versions in order; the last is in force.
	history []configuration.Configuration
	// changed is closed and replaced with each new version.
	changed chan struct{}
}

// New returns a table with the empty configuration, version zero.
func New() *Table {
	return &Table{
		mutex: lockrank.New(lockrank.Configurations), changed: make(chan struct{}),
		history: []configuration.Configuration{{}},
	}
}

// Current returns the configuration in force.
func (t *Table) Current() configuration.Configuration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.history[len(t.history)-1]
}

// Watch returns the configuration in force and a channel that is closed when
// another is.
func (t *Table) Watch() (configuration.Configuration, <-chan struct{}) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.history[len(t.history)-1], t.changed
}

// Adopt puts a configuration into force if its version is higher than the one
// in force, and reports whether it did.
func (t *Table) Adopt(c configuration.Configuration) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if c.Version <= t.history[len(t.history)-1].Version {
		return false
	}
	t.history = append(t.history, c)
	if len(t.history) > historyLimit {
		t.history = slices.Clone(t.history[1:])
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}

// History returns the versions seen in force, the oldest first.
func (t *Table) History() []configuration.Configuration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.Clone(t.history)
}
