package crowd_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/lab/testbed"
)

const (
	// ordinarySessions is how many sessions a proxy has after others were lost.
	ordinarySessions = 600
	// busySessions is how many of them run transactions; the others are idle.
	busySessions = 40
	// ordinaryTime is how long the sessions last. It is above the timeouts for messages and
	// answers that make no progress.
	ordinaryTime = 7 * time.Second
)

// TestOrdinarySessionsReachNoLimit guards against limits that ordinary clients reach: on the
// smallest machine of the platform none of their sessions may be refused or closed. A
// statement may still be refused because the endpoints are busy.
func TestOrdinarySessionsReachNoLimit(t *testing.T) {
	p := startProxy(t, limits{megabytes: 184, descriptors: 4200})
	end := time.Now().Add(ordinaryTime)
	failures := make(chan error, ordinarySessions)
	var sessions sync.WaitGroup
	for i := range ordinarySessions {
		sessions.Add(1)
		p.tasks.GoIsolated("ordinary session", func(context.Context) {
			defer sessions.Done()
			if err := ordinarySession(p.settings.Callers, i < busySessions, end); err != nil {
				failures <- fmt.Errorf("session %d: %w", i, err)
			}
		})
	}
	sessions.Wait()
	close(failures)
	for err := range failures {
		t.Error(err)
	}
	p.verify(t)
}

// ordinarySession opens a session with a few values and prepared statements, and uses it
// until the end: a busy one for transactions of twelve statements, the others once more at
// the end.
func ordinarySession(address string, busy bool, end time.Time) error {
	c, err := testbed.Dial(address, ordinaryDatabase)
	if err != nil {
		return err
	}
	defer c.Close()
	text := strings.Repeat("a", 1000)
	for i := range 3 {
		for _, statement := range []string{fmt.Sprintf("SET name-%d %s", i, text[:200]), fmt.Sprintf("PREPARE name-%d WRITE %s", i, text[:300])} {
			if err := accepted(c, statement); err != nil {
				return err
			}
		}
	}
	for busy && time.Now().Before(end) {
		if err := accepted(c, "BEGIN"); err != nil {
			return err
		}
		for i := range 11 {
			statement := "EXECUTE name-1 item " + text
			if i%2 == 1 {
				statement = "READ item"
			}
			if err := accepted(c, statement); err != nil {
				return err
			}
		}
		if err := accepted(c, "COMMIT"); err != nil {
			return err
		}
		time.Sleep(retryPause)
	}
	time.Sleep(time.Until(end))
	return accepted(c, "SET last "+text)
}

// accepted runs a statement and fails if the session does not answer it, or answers that the
// client has reached a limit.
func accepted(c *testbed.Client, statement string) error {
	answer, err := c.Do(statement)
	if err != nil {
		return err
	}
	switch answer.Code {
	case "TOOLARGE", "OVERLOAD", "UNAUTH":
		return fmt.Errorf("%.20s was answered %s", statement, answer.Code)
	default:
		return nil
	}
}

// TestAnswersOfOrdinaryLengthAreRead guards against a timeout for unread answers that a client
// reaches which reads them late: it reads nothing for a second, and then all. Statements may be
// refused because the endpoints are busy.
func TestAnswersOfOrdinaryLengthAreRead(t *testing.T) {
	p := startProxy(t, defaultLimits)
	c, err := testbed.Dial(p.settings.Callers, ordinaryDatabase)
	assert.NilError(t, err)
	defer c.Close()
	answer, err := c.Do("WRITE item " + strings.Repeat("a", 3000))
	assert.NilError(t, err)
	assert.Assert(t, answer.OK(), answer.Code)
	const statements = 12
	for i := range statements {
		assert.NilError(t, c.Send(fmt.Sprintf("QUERY late-%d READ item", i)))
	}
	time.Sleep(time.Second)
	for range statements {
		for line := ""; !strings.HasPrefix(line, "READY"); {
			line, err = c.ReadLine()
			assert.NilError(t, err)
		}
	}
	p.verify(t)
}
