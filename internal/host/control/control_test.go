package control_test

import (
	"os"
	"syscall"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/host/control"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

// TestOnlyARefusedConnectionProvesThatAProcessIsDown guards against an endpoint that
// counts as down although it has only closed a connection, as at its limit.
func TestOnlyARefusedConnectionProvesThatAProcessIsDown(t *testing.T) {
	refused := errors.WithStack(os.NewSyscallError("connect", syscall.ECONNREFUSED))
	reset := errors.WithStack(os.NewSyscallError("read", syscall.ECONNRESET))
	assert.DeepEqual(t, control.Failure(refused), scheduler.Outcome{Refused: true})
	assert.DeepEqual(t, control.Failure(reset), scheduler.Outcome{Reset: true})
	assert.DeepEqual(t, control.Failure(syscall.ETIMEDOUT), scheduler.Outcome{})

	none := statement.Reply{}
	assert.DeepEqual(t, control.NotConnected(none, refused), scheduler.Outcome{Refused: true})
	assert.DeepEqual(t, control.NotConnected(none, reset), scheduler.Outcome{ConnectionsFull: true})
	assert.DeepEqual(t, control.NotConnected(statement.ErrorReply(statement.Overload, ""), nil),
		scheduler.Outcome{Answered: true, ConnectionsFull: true})
	assert.DeepEqual(t, control.NotConnected(statement.ErrorReply(statement.Misrouted, ""), nil), scheduler.Outcome{Refused: true})
}
