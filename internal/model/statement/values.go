package statement

import (
	"maps"
	"slices"
)

// Values are the session values that a client has set. They are immutable.
type Values struct {
	// named holds the values by name. It is never modified.
	named map[string]string
	// size is the sum of the lengths of all names and values, with what each takes beside.
	size int
}

// With returns the values with the named value added or replaced.
func (v Values) With(name, value string) Values {
	named := maps.Clone(v.named)
	if named == nil {
		named = map[string]string{}
	}
	named[name] = value
	return Values{named: named, size: v.SizeWith(name, value)}
}

// entryBytes is what a named value takes beside its texts, in two maps while one is copied.
const entryBytes = 256

// Size returns how many bytes the values take in memory, about.
func (v Values) Size() int { return v.size }

// SizeWith returns the size of the values with the named value added or replaced.
func (v Values) SizeWith(name, value string) int {
	if before, ok := v.named[name]; ok {
		return v.size + len(value) - len(before)
	}
	return v.size + entryBytes + len(name) + len(value)
}

// Equal reports whether both hold the same values.
func (v Values) Equal(w Values) bool { return maps.Equal(v.named, w.named) }

// Empty reports whether there are no values.
func (v Values) Empty() bool { return len(v.named) == 0 }

// Each calls f with every name and value, ordered by name.
func (v Values) Each(f func(name, value string)) {
	for _, n := range slices.Sorted(maps.Keys(v.named)) {
		f(n, v.named[n])
	}
}

// Extends reports whether every name in w also has a value in v, so that a session with
// the values w can get the values v by setting values, without removing any.
func (v Values) Extends(w Values) bool {
	for n := range w.named {
		if _, ok := v.named[n]; !ok {
			return false
		}
	}
	return true
}

// Holds reports whether the value of the name is the given one.
func (v Values) Holds(name, value string) bool {
	current, ok := v.named[name]
	return ok && current == value
}
