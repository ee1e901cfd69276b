package soak

import (
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/lab/member"
)

// TestAStatementThatRanWithOtherBytesIsFound guards against a comparison that passes over a
// difference.
func TestAStatementThatRanWithOtherBytesIsFound(t *testing.T) {
	write := member.Run{Member: "m", ID: "q1", Text: "WRITE a b\r", Values: map[string]string{"colour": "v\r"}}
	execute := member.Run{Member: "m", ID: "q2", Text: "EXECUTE s a b\r", Prepared: "WRITE c\r", Arguments: "a b\r"}
	for i, change := range []func(write, execute *member.Run){
		func(_, _ *member.Run) {}, // no difference
		func(write, _ *member.Run) { write.Text = "WRITE a b" },
		func(write, _ *member.Run) { write.Values = map[string]string{"colour": "v"} },
		func(write, _ *member.Run) { write.Values = nil },
		func(write, _ *member.Run) { write.ID = "b1" },
		func(_, execute *member.Run) { execute.Prepared = "READ c\r" },
		func(_, execute *member.Run) { execute.Prepared = "WRITE c" },
		func(_, execute *member.Run) { execute.Arguments = "a b" },
	} {
		r := &runner{statements: statements{sent: map[string]sentStatement{}}}
		noted := execute
		noted.Text = ""
		r.statements.note(sentStatement{Run: write})
		r.statements.note(sentStatement{Run: noted})
		ranWrite, ranExecute := write, execute
		ranExecute.Text = "EXECUTE w1 a b\r" // proxies rename prepared statements
		change(&ranWrite, &ranExecute)
		r.checkRun(ranWrite)
		r.checkRun(ranExecute)
		assert.Equal(t, len(r.violations.messages), min(i, 1), "%d: %q", i, r.violations.messages)
		assert.Equal(t, r.statements.compared(), 2)
	}
}

// TestRandomTextsHoldNoEndOfAMessage checks that texts hold every piece, and no end of a
// message.
func TestRandomTextsHoldNoEndOfAMessage(t *testing.T) {
	random, all := rand.New(rand.NewPCG(1, 1)), ""
	for range 2000 {
		text := randomText(random)
		assert.Assert(t, !strings.Contains(text, "\r\n"), "%q", text)
		all += text + "|"
	}
	for _, piece := range pieces {
		assert.Assert(t, strings.Contains(all, piece), "%q", piece)
	}
	assert.Assert(t, strings.Contains(all, "\r|"), "no CR at an end")
}
