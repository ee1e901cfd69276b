package sibling

import (
	"slices"
	"time"

	"eelgrassladder.example/eelgrassladder/gen/peer"
	"eelgrassladder.example/eelgrassladder/internal/model/delegation"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
)

// The lists in which messages have the indices of kinds, codes and states. Proxies of several
// versions use them, so they are only appended to.
var (
	kinds = []statement.Kind{
		statement.Unknown, statement.Begin, statement.BeginRead, statement.Commit, statement.Rollback, statement.Read,
		statement.Write, statement.Set, statement.Prepare, statement.Execute, statement.Deallocate,
	}
	codes = []statement.Code{
		statement.OK, statement.Busy, statement.Aborted, statement.Lagging, statement.ReadOnly, statement.Misrouted,
		statement.Overload, statement.InDoubt, statement.TimedOut, statement.Failed, statement.NoStatement,
		statement.NoDatabase, statement.Malformed, statement.TooLarge, statement.Unauthorized,
	}
	states = []statement.State{statement.Idle, statement.InTransaction, statement.InFailedTransaction}
)

// indexOf returns the index of a value in a list, or that of the value unknown.
func indexOf[T comparable](list []T, value, unknown T) uint32 {
	i := slices.Index(list, value)
	if i < 0 {
		i = slices.Index(list, unknown)
	}
	return uint32(i)
}

// valueAt returns the value at an index of a list, or unknown if there is none.
func valueAt[T any](list []T, index uint32, unknown T) T {
	if uint64(index) >= uint64(len(list)) {
		return unknown
	}
	return list[index]
}

// encodeRequest converts a request to the generated type.
func encodeRequest(number uint64, r delegation.Request) *peer.Delegated {
	m := &peer.Delegated{Number: number, GivenUp: r.GivenUp}
	if r.GivenUp {
		return m
	}
	m.LeftMicros, m.WaitedMicros = encodeTime(r.Left), encodeTime(r.Waited)
	m.Statement = encodeStatement(r.Statement)
	if o := r.Opening; o != nil {
		m.Opening = &peer.DelegatedOpening{
			Asker: []byte(o.Asker), Database: []byte(o.Database), Team: []byte(o.Team), Version: o.Version, Written: encodePosition(o.Written),
			AdmittedMicros: encodeTime(o.AdmittedAge),
		}
		if o.Begin.Kind != statement.Unknown {
			m.Opening.Begin = encodeStatement(o.Begin)
		}
	}
	if r.Values != nil {
		m.NewValues = true
		r.Values.Each(func(name, value string) {
			m.Values = append(m.Values, &peer.DelegatedValue{Name: []byte(name), Value: []byte(value)})
		})
	}
	return m
}

// encodeTime converts a time to microseconds, zero for a negative one.
func encodeTime(t time.Duration) uint64 { return uint64(max(t.Microseconds(), 0)) }

// decodeTime converts a time in microseconds, at most maxAge.
func decodeTime(micros uint64) time.Duration {
	return time.Duration(min(micros, uint64(maxAge.Microseconds()))) * time.Microsecond
}

// encodeStatement converts a statement to the generated type.
func encodeStatement(s statement.Statement) *peer.DelegatedStatement {
	return &peer.DelegatedStatement{
		Id: []byte(s.ID), Kind: indexOf(kinds, s.Kind, statement.Unknown), Text: []byte(s.Text), Name: []byte(s.Name),
		Prepared: []byte(s.Prepared.Text), PreparedWrites: s.Prepared.Writes, Arguments: []byte(s.Arguments),
	}
}

// decodeRequest converts a request from the generated type.
func decodeRequest(m *peer.Delegated) delegation.Request {
	r := delegation.Request{
		GivenUp: m.GetGivenUp(), Statement: decodeStatement(m.GetStatement()),
		Left: decodeTime(m.GetLeftMicros()), Waited: decodeTime(m.GetWaitedMicros()),
	}
	if o := m.GetOpening(); o != nil {
		r.Opening = &delegation.Opening{
			Asker: string(o.GetAsker()), Database: string(o.GetDatabase()), Team: string(o.GetTeam()), Version: o.GetVersion(),
			Written: decodePosition(o.GetWritten()), Begin: decodeStatement(o.GetBegin()),
			AdmittedAge: decodeTime(o.GetAdmittedMicros()),
		}
	}
	if m.GetNewValues() {
		values := statement.Values{}
		for _, v := range m.GetValues() {
			values = values.With(string(v.GetName()), string(v.GetValue()))
		}
		r.Values = &values
	}
	return r
}

// decodeStatement converts a statement from the generated type. The zero Statement stands for
// an absent one.
func decodeStatement(m *peer.DelegatedStatement) statement.Statement {
	return statement.Statement{
		ID: string(m.GetId()), Kind: valueAt(kinds, m.GetKind(), statement.Unknown), Text: string(m.GetText()), Name: string(m.GetName()),
		Prepared:  statement.Prepared{Writes: m.GetPreparedWrites(), Text: string(m.GetPrepared())},
		Arguments: string(m.GetArguments()),
	}
}

// encodeAnswer converts an answer to the generated type.
func encodeAnswer(number uint64, a delegation.Answer) *peer.DelegatedAnswer {
	if a.Moved {
		return &peer.DelegatedAnswer{Number: number, Moved: true, Draining: a.Draining}
	}
	m := &peer.DelegatedAnswer{
		Number: number, Signature: []byte(a.Reply.Signature), Code: indexOf(codes, a.Reply.Code, statement.InDoubt), Detail: []byte(a.Reply.Detail),
		State: indexOf(states, a.Reply.State, statement.InFailedTransaction), Position: encodePosition(a.Reply.Position),
		Written: encodePosition(a.Written), RanOutside: a.RanOutside,
		Endpoint: []byte(a.Endpoint), Primary: a.Primary, Attempts: uint32(max(a.Attempts, 0)),
	}
	for _, row := range a.Reply.Rows {
		m.Rows = append(m.Rows, []byte(row))
	}
	return m
}

// decodeAnswer converts an answer from the generated type. A code that this version does not
// know counts as InDoubt, which promises nothing.
func decodeAnswer(m *peer.DelegatedAnswer) delegation.Answer {
	a := delegation.Answer{
		Moved: m.GetMoved(), Draining: m.GetDraining(), Written: decodePosition(m.GetWritten()), RanOutside: m.GetRanOutside(),
		Endpoint: string(m.GetEndpoint()), Primary: m.GetPrimary(), Attempts: int(m.GetAttempts()),
		Reply: statement.Reply{
			Signature: string(m.GetSignature()), Code: valueAt(codes, m.GetCode(), statement.InDoubt), Detail: string(m.GetDetail()),
			State: valueAt(states, m.GetState(), statement.InFailedTransaction), Position: decodePosition(m.GetPosition()),
		},
	}
	for _, row := range m.GetRows() {
		a.Reply.Rows = append(a.Reply.Rows, string(row))
	}
	return a
}
