package gateway

import (
	"maps"
	"strings"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
)

const (
	// preparedBytes is what a prepared statement takes in memory beside its texts.
	preparedBytes = 256
	// copies is how often each byte that a session keeps is counted: it is copied once, to
	// set it at an endpoint.
	copies = 2
	// minShrunk is the number of prepared statements from which the map of them is made smaller,
	// once one in shrinkFactor is left. Smaller maps take a few kilobytes.
	minShrunk    = 64
	shrinkFactor = 4
	// maxShown is how much of a client's text goes into the detail of a reply or into the log.
	maxShown = 128
)

// SessionOption configures a Session.
type SessionOption func(*Session)

// WithAccount sets the account that is charged for what the session keeps. Without it the
// session may keep any amount.
func WithAccount(a eelgrassladder.Account) SessionOption {
	return func(s *Session) { s.account = a }
}

// set sets a session value, unless the session would keep too much.
func (s *Session) set(st statement.Statement) statement.Reply {
	if err := s.hold(s.values.SizeWith(st.Name, st.Value), s.preparedSize, s.beginSize()); err != nil {
		return s.refuseMemory(err)
	}
	// The texts are parts of the whole message, which they would keep.
	s.values = s.values.With(strings.Clone(st.Name), strings.Clone(st.Value))
	return statement.Reply{}
}

// prepare prepares a statement, unless the session would keep too much.
func (s *Session) prepare(st statement.Statement) statement.Reply {
	size := s.preparedSize - s.sizeOfPrepared(st.Name) + preparedBytes + len(st.Name) + len(st.Prepared.Text)
	if err := s.hold(s.values.Size(), size, s.beginSize()); err != nil {
		return s.refuseMemory(err)
	}
	s.preparedSize = size
	s.prepared[strings.Clone(st.Name)] = statement.Prepared{Writes: st.Prepared.Writes, Text: strings.Clone(st.Prepared.Text)}
	s.preparedPeak = max(s.preparedPeak, len(s.prepared))
	return statement.Reply{}
}

// deallocate removes a prepared statement.
func (s *Session) deallocate(st statement.Statement) statement.Reply {
	s.preparedSize -= s.sizeOfPrepared(st.Name)
	delete(s.prepared, st.Name)
	s.shrinkPrepared()
	s.release()
	return statement.Reply{}
}

// shrinkPrepared replaces the map of prepared statements by a smaller one if most of them were
// deallocated: a map keeps the memory of deleted entries, for which the session is not charged.
func (s *Session) shrinkPrepared() {
	if s.preparedPeak < minShrunk || len(s.prepared) > s.preparedPeak/shrinkFactor {
		return
	}
	kept := make(map[string]statement.Prepared, len(s.prepared))
	maps.Copy(kept, s.prepared)
	s.prepared, s.preparedPeak = kept, len(kept)
}

// sizeOfPrepared returns what the statement that is prepared under a name takes in memory;
// zero if there is none.
func (s *Session) sizeOfPrepared(name string) int {
	p, ok := s.prepared[name]
	if !ok {
		return 0
	}
	return preparedBytes + len(name) + len(p.Text)
}

// beginSize returns what the statement that opened the transaction takes in memory. Its text
// is short, but its ID may be as long as a message.
func (s *Session) beginSize() int {
	if s.transaction == nil {
		return 0
	}
	return len(s.transaction.begin.ID)
}

// hold charges the session for what it keeps: values, prepared statements, and the statement
// that opened the transaction.
func (s *Session) hold(values, prepared, begin int) error {
	return s.account.Hold(eelgrassladder.SessionMemory, copies*(values+prepared+begin))
}

// release lowers the charge after the session has dropped something. That never fails.
func (s *Session) release() { _ = s.hold(s.values.Size(), s.preparedSize, s.beginSize()) }

// refuseMemory returns the reply to a statement for which the session may not hold the memory.
func (s *Session) refuseMemory(err error) statement.Reply {
	if errors.Is(err, eelgrassladder.ErrSessionTooLarge) {
		return s.fail(statement.TooLarge, eelgrassladder.ErrSessionTooLarge.Error())
	}
	return s.fail(statement.Overload, err.Error())
}

// shortened returns the start of a client's text.
func shortened(text string) string { return text[:min(len(text), maxShown)] }
