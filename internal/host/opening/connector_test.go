package opening_test

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/opening"
	"eelgrassladder.example/eelgrassladder/internal/model/statement"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
)

// endpoint is a Connector and a Clock. An attempt takes 12 ms and ends with reply and err.
type endpoint struct {
	now   time.Duration
	reply statement.Reply
	err   error
}

func (e *endpoint) SinceBoot() time.Duration { return e.now }

func (e *endpoint) Connect(context.Context, topology.Endpoint, string) (eelgrassladder.Connection, statement.Reply, error) {
	e.now += 12 * time.Millisecond
	return nil, e.reply, e.err
}

// recorder keeps the attempts.
type recorder struct{ attempts []opening.Attempt }

func (r *recorder) ConnectionAttempted(a opening.Attempt) { r.attempts = append(r.attempts, a) }

// TestAttemptsAreTold guards against openings that hold slots of endpoints and that no log or
// metric shows.
func TestAttemptsAreTold(t *testing.T) {
	for _, c := range []struct {
		reply statement.Reply
		err   error
		want  opening.Result
	}{
		{reply: statement.Reply{}, want: opening.Opened},
		{reply: statement.ErrorReply(statement.Overload, ""), want: opening.Full},
		{reply: statement.ErrorReply(statement.Busy, ""), want: opening.Busy},
		{reply: statement.ErrorReply(statement.Misrouted, ""), want: opening.Failed},
		{err: errors.WithStack(context.DeadlineExceeded), want: opening.Late},
		{err: errors.New("reset"), want: opening.Failed},
	} {
		e, r := &endpoint{now: time.Hour, reply: c.reply, err: c.err}, &recorder{}
		connector := opening.NewConnector(e, e, r, opening.NewLog(e))
		for range 100 { // the log writes a line
			_, reply, err := connector.Connect(context.Background(), topology.Endpoint{ID: "m"}, "")
			assert.DeepEqual(t, reply, c.reply)
			assert.Equal(t, err, c.err)
		}
		assert.Equal(t, len(r.attempts), 100)
		assert.Equal(t, r.attempts[99], opening.Attempt{Endpoint: "m", Result: c.want, Took: 12 * time.Millisecond})
	}
}
