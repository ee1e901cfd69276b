package statement

import (
	"maps"
	"slices"
	"strings"
)

// Values are the session values that a client has set. They are immutable.
type Values struct {
	// named is never written after it was set.
	named map[string]string
	// digest tells two sets of values apart; empty for no values.
	digest string
}

// With returns the values with one more, or with another value for the name.
func (v Values) With(name, value string) Values {
	named := maps.Clone(v.named)
	if named == nil {
		named = map[string]string{}
	}
	named[name] = value
	var b strings.Builder
	for _, n := range slices.Sorted(maps.Keys(named)) {
		b.WriteString(n + " " + named[n] + "\n")
	}
	return Values{named: named, digest: b.String()}
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

// Extends reports whether every name of w has a value in v too, so that w
// becomes v by setting values alone.
func (v Values) Extends(w Values) bool {
	for n := range w.named {
		if _, ok := v.named[n]; !ok {
			return false
		}
	}
	return true
}

// Holds reports whether the name has the value.
func (v Values) Holds(name, value string) bool {
	have, ok := v.named[name]
	return ok && have == value
}
