package failover_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/host/failover"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

// recorder keeps the log lines and the outcomes that a reporter passes on.
type recorder struct {
	lines    []string
	outcomes []string
}

func (r *recorder) write(message string, fields ...any) {
	r.lines = append(r.lines, message+" "+strings.Trim(fmt.Sprint(fields...), "[]"))
}

func (r *recorder) Changed(group string, reason policy.Reason, o failover.Outcome) {
	r.outcomes = append(r.outcomes, group+" "+reason.String()+" "+o.String())
}

// newReporter returns a reporter whose lines and outcomes r keeps, and the time at
// which the test begins.
func newReporter(r *recorder) (*failover.Reporter, time.Time) {
	return failover.NewReporter(r).WithWriter(r.write), time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
}

var (
	errSilent = errors.New("endpoint i-1: dial tcp4 10.0.0.1:8509: i/o timeout")
	errLocked = errors.New("proxy front-a-1 holds the promotion lock")
)

func TestARepeatedRefusalIsLoggedOnceASecondWithTheNumberOfOmittedLines(t *testing.T) {
	var r recorder
	reporter, now := newReporter(&r)
	for i := range 24 {
		reporter.Refused(now.Add(time.Duration(i)*100*time.Millisecond), "g", policy.Unresponsive, errSilent)
	}
	assert.Equal(t, len(r.lines), 3, strings.Join(r.lines, "\n"))
	for i, omitted := range []string{"0", "9", "9"} {
		assert.Assert(t, strings.HasPrefix(r.lines[i], "Change of primary not begun"), r.lines[i])
		assert.Assert(t, strings.HasSuffix(strings.ReplaceAll(r.lines[i], " ", ""), "Omitted"+omitted), r.lines[i])
	}
	assert.Equal(t, len(r.outcomes), 24, "the observer is told of each refusal")
	assert.Equal(t, r.outcomes[23], "g Dark NotBegun")
}

func TestARefusalOfAnotherGroupReasonOrErrorIsLoggedAtOnce(t *testing.T) {
	var r recorder
	reporter, now := newReporter(&r)
	for i, c := range []struct {
		group  string
		reason policy.Reason
		err    error
		// wantLines is the number of log lines after this refusal.
		wantLines int
	}{
		{"g", policy.Unresponsive, errSilent, 1},
		{"g", policy.Unresponsive, errSilent, 1},
		{"other", policy.Unresponsive, errSilent, 2},
		{"g", policy.Down, errSilent, 3},
		{"g", policy.Down, errLocked, 4},
		{"g", policy.Down, errors.New("proxy front-a-2 holds the promotion lock"), 5},
		{"g", policy.Down, errors.New("endpoint i-2: dial tcp4 10.0.0.1:8509: i/o timeout"), 6},
		{"g", policy.Down, errLocked, 6},
		{"other", policy.Unresponsive, errSilent, 6},
	} {
		reporter.Refused(now.Add(time.Duration(i)*time.Millisecond), c.group, c.reason, c.err)
		assert.Equal(t, len(r.lines), c.wantLines, "%d: %s", i, strings.Join(r.lines, "\n"))
	}
}

func TestRefusalsWhoseErrorsDifferOnlyInNumbersCountAsTheSame(t *testing.T) {
	for _, pair := range [][2]string{
		{"endpoint i-1: read tcp4 10.0.0.9:40001->10.0.0.1:8509: i/o timeout", "endpoint i-1: read tcp4 10.0.0.9:40002->10.0.0.1:8509: i/o timeout"},
		{"endpoint i-1 lags by only 1.2s", "endpoint i-1 lags by only 873ms"},
		{"no member's log holds the acknowledged position 1.181: [i-1=1.146 i-2=1.150]", "no member's log holds the acknowledged position 2.190: [i-2=2.170 i-1=1.146]"},
	} {
		var r recorder
		reporter, now := newReporter(&r)
		reporter.Refused(now, "g", policy.Unresponsive, errors.New(pair[0]))
		reporter.Refused(now, "g", policy.Unresponsive, errors.New(pair[1]))
		assert.Equal(t, len(r.lines), 1, strings.Join(r.lines, "\n"))
	}
}

func TestARefusalIsLoggedAtOnceAfterAChangeHasBegun(t *testing.T) {
	var r recorder
	reporter, now := newReporter(&r)
	reporter.Refused(now, "g", policy.Unresponsive, errSilent)
	reporter.Refused(now, "other", policy.Unresponsive, errSilent)
	reporter.Begun("g", policy.Unresponsive)
	reporter.Ended("g", policy.Unresponsive, failover.GivenUp)
	reporter.Refused(now, "g", policy.Unresponsive, errSilent)
	reporter.Refused(now, "other", policy.Unresponsive, errSilent)
	assert.Equal(t, len(r.lines), 3, strings.Join(r.lines, "\n"))
	assert.DeepEqual(t, r.outcomes[2:4], []string{"g Dark Begun", "g Dark GivenUp"})
}
