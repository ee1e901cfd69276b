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

// recorder keeps the lines and the outcomes that notes tell of.
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

// notes returns notes that r keeps, and the time that they begin at.
func notes(r *recorder) (*failover.Notes, time.Time) {
	return failover.NewNotes(r).WithWriter(r.write), time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
}

var (
	errSilent = errors.New("endpoint i-1: dial tcp4 10.0.0.1:8509: i/o timeout")
	errDuty   = errors.New("proxy front-a-1 holds the duty")
)

func TestARefusalThatLastsIsOneLineASecondWithACount(t *testing.T) {
	var r recorder
	n, now := notes(&r)
	for i := range 24 {
		n.Refused(now.Add(time.Duration(i)*100*time.Millisecond), "g", policy.Unresponsive, errSilent)
	}
	assert.Equal(t, len(r.lines), 3, strings.Join(r.lines, "\n"))
	for i, omitted := range []string{"0", "9", "9"} {
		assert.Assert(t, strings.HasPrefix(r.lines[i], "Change of primary not begun"), r.lines[i])
		assert.Assert(t, strings.HasSuffix(strings.ReplaceAll(r.lines[i], " ", ""), "Omitted"+omitted), r.lines[i])
	}
	assert.Equal(t, len(r.outcomes), 24, "each one counts")
	assert.Equal(t, r.outcomes[23], "g Dark NotBegun")
}

func TestARefusalThatIsNewIsALineAtOnce(t *testing.T) {
	var r recorder
	n, now := notes(&r)
	for i, one := range []struct {
		group  string
		reason policy.Reason
		err    error
		lines  int
	}{
		{"g", policy.Unresponsive, errSilent, 1},
		{"g", policy.Unresponsive, errSilent, 1},
		{"other", policy.Unresponsive, errSilent, 2},
		{"g", policy.Down, errSilent, 3},
		{"g", policy.Down, errDuty, 4},
		{"g", policy.Down, errors.New("proxy front-a-2 holds the duty"), 5},
		{"g", policy.Down, errors.New("endpoint i-2: dial tcp4 10.0.0.1:8509: i/o timeout"), 6},
		{"g", policy.Down, errDuty, 6},
		{"other", policy.Unresponsive, errSilent, 6},
	} {
		n.Refused(now.Add(time.Duration(i)*time.Millisecond), one.group, one.reason, one.err)
		assert.Equal(t, len(r.lines), one.lines, "%d: %s", i, strings.Join(r.lines, "\n"))
	}
}

func TestNumbersInAnErrorAreNotItsSubstance(t *testing.T) {
	for _, pair := range [][2]string{
		{"endpoint i-1: read tcp4 10.0.0.9:40001->10.0.0.1:8509: i/o timeout", "endpoint i-1: read tcp4 10.0.0.9:40002->10.0.0.1:8509: i/o timeout"},
		{"endpoint i-1 lags by 1.2s only", "endpoint i-1 lags by 873ms only"},
		{"no member holds 1.181, which is kept according to Record: [i-1=1.146 i-2=1.150]", "no member holds 2.190, which is kept according to Record: [i-2=2.170 i-1=1.146]"},
	} {
		var r recorder
		n, now := notes(&r)
		n.Refused(now, "g", policy.Unresponsive, errors.New(pair[0]))
		n.Refused(now, "g", policy.Unresponsive, errors.New(pair[1]))
		assert.Equal(t, len(r.lines), 1, strings.Join(r.lines, "\n"))
	}
}

func TestARefusalAfterAChangeHasBegunIsNew(t *testing.T) {
	var r recorder
	n, now := notes(&r)
	n.Refused(now, "g", policy.Unresponsive, errSilent)
	n.Refused(now, "other", policy.Unresponsive, errSilent)
	n.Begun("g", policy.Unresponsive)
	n.Ended("g", policy.Unresponsive, failover.GivenUp)
	n.Refused(now, "g", policy.Unresponsive, errSilent)
	n.Refused(now, "other", policy.Unresponsive, errSilent)
	assert.Equal(t, len(r.lines), 3, strings.Join(r.lines, "\n"))
	assert.DeepEqual(t, r.outcomes[2:4], []string{"g Dark Begun", "g Dark GivenUp"})
}
