package correlation_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	. "eelgrassladder.example/eelgrassladder/internal/policy/correlation"
)

func TestAnAnswerIsTakenOnlyByTheStatementThatItBelongsTo(t *testing.T) {
	signed := statement.Reply{Rows: []string{"row"}, Signature: "s"}
	done := statement.Reply{}
	status := statement.Reply{Rows: []string{"replica 3 3.1209 0 12 2 17"}}
	lagging := statement.ErrorReply(statement.Lagging, "behind")
	for _, c := range []struct {
		name     string
		expected Expected
		reply    statement.Reply
		evidence Evidence
		want     Verdict
	}{
		{"a new signature", Signed, signed, Evidence{}, Own},
		{"a new signature after a doubtful answer", Signed, signed, Evidence{Unsettled: true}, Own},
		{"a signed answer again", Signed, signed, Evidence{Repeats: true}, Copy},
		{"a signed answer again, for a SET", Unsigned, signed, Evidence{Repeats: true}, Copy},
		{"a used signature with other rows", Signed, signed, Evidence{SignatureUsed: true}, Unclear},
		{"a new signature for a SET", Unsigned, signed, Evidence{}, Unclear},
		{"no signature for a read", Signed, done, Evidence{}, Unclear},
		{"no signature for a read, as before", Signed, done, Evidence{Repeats: true}, Copy},
		{"no signature for a read, after a doubtful answer", Signed, done, Evidence{Unsettled: true}, Copy},
		{"no signature for a SET", Unsigned, done, Evidence{}, Own},
		{"no signature for a SET, as before", Unsigned, done, Evidence{Repeats: true}, Own},
		{"a status", Status, status, Evidence{}, Own},
		{"no row for a status, as before", Status, done, Evidence{Repeats: true}, Copy},
		{"a status for a SET", Unsigned, status, Evidence{}, Unclear},
		{"a status for a read, as before", Signed, status, Evidence{Repeats: true}, Copy},
		{"an error", Signed, lagging, Evidence{}, Own},
		{"an error as before", Signed, lagging, Evidence{Repeats: true}, Unclear},
		{"an error after a doubtful answer", Signed, lagging, Evidence{Unsettled: true}, Unclear},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, Judge(c.expected, c.reply, c.evidence), c.want) })
	}
}

func TestOnlyASignedAnswerSettlesADoubtfulOne(t *testing.T) {
	done, signed := statement.Reply{}, statement.Reply{Signature: "s"}
	assert.Assert(t, Settles(done, Evidence{}))
	assert.Assert(t, !Settles(done, Evidence{Repeats: true}))
	assert.Assert(t, !Settles(done, Evidence{Unsettled: true}))
	assert.Assert(t, Settles(signed, Evidence{Unsettled: true}))
}
