package gateway

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
)

// heldAccount is an Account without a limit that keeps the charge.
type heldAccount struct {
	eelgrassladder.Account
	bytes int
}

func (a *heldAccount) Hold(_ eelgrassladder.MemoryUse, bytes int) error {
	a.bytes = bytes
	return nil
}

// preparing returns the statement that prepares another under a name, and deallocating the one that
// removes it.
func preparing(name string) statement.Statement {
	return statement.Statement{Name: name, Prepared: statement.Prepared{Text: "q"}}
}

func deallocating(name string) statement.Statement { return statement.Statement{Name: name} }

// TestDeallocatedStatementsTakeNoMemory guards against sessions that take a process out of memory
// without being charged: clients prepare many statements, deallocate them and rest.
func TestDeallocatedStatementsTakeNoMemory(t *testing.T) {
	const sessions, statements = 40, 13_000
	// boundBytes is for all sessions. Each kept some 1 MB.
	const boundBytes = sessions * 32 << 10
	held := func() uint64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := held()
	rested := make([]*Session, sessions)
	for i := range rested {
		account := &heldAccount{}
		s := &Session{prepared: map[string]statement.Prepared{}, account: account}
		for k := range statements {
			assert.Equal(t, s.prepare(preparing(fmt.Sprintf("s%d", k))).Code, statement.OK)
		}
		for k := range statements {
			s.deallocate(deallocating(fmt.Sprintf("s%d", k)))
		}
		assert.Equal(t, account.bytes, 0)
		rested[i] = s
	}
	after := held()
	assert.Assert(t, after < before+boundBytes, "%d bytes for %d sessions", int64(after)-int64(before), sessions)
	runtime.KeepAlive(rested)
}

// TestStatementsThatAreLeftStayPrepared guards against a map that loses statements when it is made
// smaller.
func TestStatementsThatAreLeftStayPrepared(t *testing.T) {
	s := &Session{prepared: map[string]statement.Prepared{}, account: &heldAccount{}}
	for k := range 1000 {
		s.prepare(preparing(fmt.Sprintf("s%d", k)))
	}
	size := s.preparedSize
	for k := range 990 {
		s.deallocate(deallocating(fmt.Sprintf("s%d", k)))
	}
	assert.Equal(t, len(s.prepared), 10)
	for k := 990; k < 1000; k++ {
		_, ok := s.prepared[fmt.Sprintf("s%d", k)]
		assert.Assert(t, ok, "s%d", k)
	}
	assert.Assert(t, s.preparedSize > 0 && s.preparedSize < size)
}
