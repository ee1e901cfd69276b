package session_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/session"
)

func TestPositionsOnlyGrowAndTokensCanBeParsedFromTheirText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var token session.Token
		highest := map[string]uint64{}
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			group := fmt.Sprintf("group-%d", rapid.IntRange(0, 5).Draw(t, "group"))
			p := position.Position{Term: uint64(rapid.IntRange(1, 9).Draw(t, "term")), Log: uint64(rapid.IntRange(1, 99).Draw(t, "log"))}
			before := token
			token = token.WithPosition(group, p)
			highest[group] = max(highest[group], p.Log)
			assert.Assert(t, token.Position(group).Covers(before.Position(group)))
		}
		parsed, err := session.Parse(token.String())
		assert.NilError(t, err)
		assert.Equal(t, parsed.String(), token.String())
		for group, log := range highest {
			assert.Equal(t, parsed.Position(group).Log, log)
		}
	})
}

func TestParseRefusesMalformedTokens(t *testing.T) {
	for _, text := range []string{"orders", "orders:1", ":1.2", "orders:1.x", "orders:-1.2", "a:1.2,,b:1.2"} {
		_, err := session.Parse(text)
		assert.Assert(t, err != nil, text)
	}
}

// FuzzToken checks that any token of a caller that can be parsed stays the same when it is
// written and parsed again.
func FuzzToken(f *testing.F) {
	for _, text := range []string{"", "orders:1.2", "a:1.2,b:3.4", "a:1.2,a:1.3", "a:01.2", ":", "a:18446744073709551615.0", "a:b:1.2"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		token, err := session.Parse(text)
		if err != nil {
			return
		}
		again, err := session.Parse(token.String())
		assert.NilError(t, err)
		assert.Equal(t, again.String(), token.String())
	})
}
