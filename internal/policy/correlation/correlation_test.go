package correlation_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/policy/correlation"
)

func TestAnAnswerIsTakenOnlyByTheStatementThatItBelongsTo(t *testing.T) {
	signed := statement.Reply{Rows: []string{"row"}, Signature: "s"}
	done := statement.Reply{}
	status := statement.Reply{Rows: []string{"replica 3 3.1209 0 12 2 17"}}
	lagging := statement.ErrorReply(statement.Lagging, "behind")
	malformed := statement.ErrorReply(statement.Malformed, "value")
	busy := statement.ErrorReply(statement.Busy, "")
	var none correlation.Outstanding
	afterSet, afterBegin, afterStatus := none.With(correlation.Unsigned), none.With(correlation.Opening), none.With(correlation.Status)
	for _, c := range []struct {
		name     string
		expected correlation.Expected
		reply    statement.Reply
		evidence correlation.Evidence
		want     correlation.Verdict
	}{
		{"a new signature", correlation.Signed, signed, correlation.Evidence{}, correlation.Own},
		{"a new signature after a doubtful answer", correlation.Signed, signed, correlation.Evidence{Outstanding: afterSet}, correlation.Own},
		{"a signed answer again", correlation.Signed, signed, correlation.Evidence{Repeats: true}, correlation.Copy},
		{"a signed answer again, for a SET", correlation.Unsigned, signed, correlation.Evidence{Repeats: true}, correlation.Copy},
		{"a used signature with other rows", correlation.Signed, signed, correlation.Evidence{SignatureUsed: true}, correlation.Unclear},
		{"a new signature for a SET", correlation.Unsigned, signed, correlation.Evidence{}, correlation.Unclear},
		{"no signature for a read", correlation.Signed, done, correlation.Evidence{}, correlation.Unclear},
		{"no signature for a read, as before", correlation.Signed, done, correlation.Evidence{Repeats: true}, correlation.Copy},
		{"no signature for a read, after a doubtful answer", correlation.Signed, done, correlation.Evidence{Outstanding: afterSet}, correlation.Copy},
		{"no signature for a SET", correlation.Unsigned, done, correlation.Evidence{}, correlation.Own},
		{"no signature for a SET, as before", correlation.Unsigned, done, correlation.Evidence{Repeats: true}, correlation.Own},
		{"a BEGIN", correlation.Opening, done, correlation.Evidence{Outstanding: afterSet}, correlation.Own},
		{"a BEGIN as before", correlation.Opening, done, correlation.Evidence{Repeats: true}, correlation.Unclear},
		{"a BEGIN after a doubtful one", correlation.Opening, done, correlation.Evidence{Outstanding: afterBegin}, correlation.Unclear},
		{"a BEGIN as before, at a trusted endpoint", correlation.Opening, done, correlation.Evidence{Repeats: true, Trusted: true}, correlation.Own},
		{"an error that a doubtful BEGIN may have got", correlation.Signed, lagging, correlation.Evidence{Outstanding: afterBegin}, correlation.Unclear},
		{"a status", correlation.Status, status, correlation.Evidence{}, correlation.Own},
		{"a refused status", correlation.Status, busy, correlation.Evidence{}, correlation.Own},
		{"a refused status, as before", correlation.Status, busy, correlation.Evidence{Repeats: true}, correlation.Own},
		{"no row for a status, as before", correlation.Status, done, correlation.Evidence{Repeats: true}, correlation.Copy},
		{"a status for a SET", correlation.Unsigned, status, correlation.Evidence{}, correlation.Unclear},
		{"a status for a read, as before", correlation.Signed, status, correlation.Evidence{Repeats: true}, correlation.Copy},
		{"an error", correlation.Signed, lagging, correlation.Evidence{}, correlation.Own},
		{"an error as before", correlation.Signed, lagging, correlation.Evidence{Repeats: true}, correlation.Unclear},
		{"an error that the doubtful answer may hide", correlation.Signed, malformed, correlation.Evidence{Outstanding: afterSet}, correlation.Unclear},
		{"an error that a SET does not get", correlation.Signed, lagging, correlation.Evidence{Outstanding: afterSet}, correlation.Own},
		{"a busy endpoint after a status", correlation.Signed, busy, correlation.Evidence{Outstanding: afterStatus}, correlation.Unclear},
		{"a lagging endpoint after a status", correlation.Signed, lagging, correlation.Evidence{Outstanding: afterStatus}, correlation.Own},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, correlation.Judge(c.expected, c.reply, c.evidence), c.want) })
	}
}

func TestOnlyASignedAnswerShowsThatNoneIsOutstanding(t *testing.T) {
	done, signed := statement.Reply{}, statement.Reply{Signature: "s"}
	busy, malformed := statement.ErrorReply(statement.Busy, ""), statement.ErrorReply(statement.Malformed, "")
	var none correlation.Outstanding
	afterSet := none.With(correlation.Unsigned)
	assert.Equal(t, correlation.Evidence{}.After(correlation.Unsigned, done), none)
	assert.Equal(t, correlation.Evidence{Repeats: true}.After(correlation.Unsigned, done), afterSet)
	assert.Equal(t, correlation.Evidence{Repeats: true}.After(correlation.Status, busy), none.With(correlation.Status))
	assert.Equal(t, correlation.Evidence{Outstanding: afterSet}.After(correlation.Status, malformed), afterSet.With(correlation.Status))
	assert.Equal(t, correlation.Evidence{Outstanding: afterSet}.After(correlation.Opening, done), afterSet)
	assert.Equal(t, correlation.Evidence{Outstanding: afterSet}.After(correlation.Signed, signed), none)
}
