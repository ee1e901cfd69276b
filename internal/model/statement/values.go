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
	// digest is equal for two sets with the same values; empty for no values.
	digest string
}

// With returns the values with the named value added or replaced.
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

// Extends reports whether every name in w also has a value in v, so that w can be
// turned into v only by setting values.
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
	have, ok := v.named[name]
	return ok && have == value
}
