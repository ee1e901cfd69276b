// Package configurations is the table of the configuration versions that have
// been in force at this proxy.
package configurations

import (
	"slices"

	"eelgrassladder.example/eelgrassladder/internal/model/configuration"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
)

// historyLimit is the maximum number of versions in the history.
const historyLimit = 32

// Table holds the configuration in force, whose version only increases. The
// rank of its mutex is lockrank.Configurations.
type Table struct {
	mutex *lockrank.Mutex
	// history holds the versions in order; the last one is in force.
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

// Watch returns the configuration in force, and a channel that is closed when
// another one comes into force.
func (t *Table) Watch() (configuration.Configuration, <-chan struct{}) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.history[len(t.history)-1], t.changed
}

// Adopt brings a configuration into force if its version is higher than that of
// the one in force, and reports whether it did.
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

// History returns the latest versions that have been in force, at most
// historyLimit, the oldest first.
func (t *Table) History() []configuration.Configuration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.Clone(t.history)
}
