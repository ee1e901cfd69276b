package member

import (
	"fmt"
	"strconv"
)

// statusRow returns the row that STATUS answers.
func (s *session) statusRow() string {
	m := s.member
	m.group.mutex.Lock()
	defer m.group.mutex.Unlock()
	role := "replica"
	if m.primary {
		role = "primary"
	}
	return fmt.Sprintf("%s %d %s %d %d %d %d", role, m.term, m.logEnd(), m.suspended,
		m.fault.Lag.Milliseconds(), len(m.slots), m.countConnections())
}

// suspendOrDemote runs SUSPEND at a replica, or DEMOTE at a primary. With a term that is
// not above the member's own, or in the other role, it changes nothing.
func (s *session) suspendOrDemote(word, termText string) bool {
	term, err := strconv.ParseUint(termText, 10, 64)
	if err != nil {
		return s.fail("MALFORMED", "term")
	}
	m := s.member
	m.group.mutex.Lock()
	switch {
	case word == "SUSPEND" && !m.primary && term > m.term:
		m.suspended = max(m.suspended, term)
	case word == "DEMOTE" && m.primary && term > m.term:
		m.primary = false
	}
	m.group.changed.Broadcast()
	m.group.mutex.Unlock()
	if word == "SUSPEND" && m.group.OnAllSuspended != nil && m.group.allSuspended() {
		m.group.OnAllSuspended()
	}
	return s.succeed("-", s.statusRow())
}

// resume ends a suspension of replication.
func (s *session) resume() bool {
	m := s.member
	m.group.mutex.Lock()
	m.suspended = 0
	m.group.replicate()
	m.group.changed.Broadcast()
	m.group.mutex.Unlock()
	return s.succeed("-", s.statusRow())
}
