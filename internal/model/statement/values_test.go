package statement_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/model/statement"
)

// TestValuesThatDifferAreNotEqual guards against sets of values that are compared by a text in
// which a value can look like the end of it and the start of another, so that a session uses a
// connection with the values of another one.
func TestValuesThatDifferAreNotEqual(t *testing.T) {
	none := statement.Values{}
	for _, c := range []struct{ v, w statement.Values }{
		{none.With("a", "1\nb 2"), none.With("a", "1").With("b", "2")},
		{none.With("a", "1\n"), none.With("a", "1")},
		{none.With("a", " 1"), none.With("a ", "1")},
		{none.With("a", "1 b 2"), none.With("a", "1").With("b", "2")},
		{none.With("a", "1:b1:2"), none.With("a", "").With("b", "2")},
		{none.With("a", ""), none},
		{none.With("", ""), none},
		{none.With("a\n", "1"), none.With("a", "\n1")},
	} {
		assert.Assert(t, !c.v.Equal(c.w), "%+v, %+v", c.v, c.w)
		assert.Assert(t, !c.w.Equal(c.v), "%+v, %+v", c.w, c.v)
		assert.Assert(t, !c.v.Empty())
	}
	assert.Assert(t, none.With("a", "1").With("b", "2").Equal(none.With("b", "2").With("a", "0").With("a", "1")))
	assert.Assert(t, none.Empty() && none.Equal(statement.Values{}))
}
