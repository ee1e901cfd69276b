package statement

import (
	"maps"
	"slices"
	"strconv"
)

// Values are the session values that a client has set. They are immutable.
type Values struct {
	// named holds the values by name. It is never modified.
	named map[string]string
	// digest lists all names and values in the order of the names, each after its length, so
	// that no text of theirs can look like the start of another; empty for no values.
	digest string
}

// With returns the values with the named value added or replaced.
func (v Values) With(name, value string) Values {
	named := maps.Clone(v.named)
	if named == nil {
		named = map[string]string{}
	}
	named[name] = value
	var digest []byte
	for _, n := range slices.Sorted(maps.Keys(named)) {
		for _, text := range []string{n, named[n]} {
			digest = append(strconv.AppendInt(digest, int64(len(text)), 10), ' ')
			digest = append(digest, text...)
		}
	}
	return Values{named: named, digest: string(digest)}
}

// Equal reports whether both hold the same values.
func (v Values) Equal(w Values) bool { return v.digest == w.digest }

// Empty reports whether there are no values.
func (v Values) Empty() bool { return v.digest == "" }

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
