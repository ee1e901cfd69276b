package member_test

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/lab/member"
)

// TestAMemberTakesACarriageReturnForText guards against a member that trims as a faulty proxy
// does, so that the fault never shows.
func TestAMemberTakesACarriageReturnForText(t *testing.T) {
	group, members, _ := start(t, 2)
	var runs []member.Run
	group.OnRun = func(r member.Run) { runs = append(runs, r) } // one session, one statement at a time
	c := dial(t, members[0])
	for _, value := range []string{"v\r", "v\r\r", "\r", "v\rw", "v\nQUERY x WRITE y z", "\n", "v\n\r", " v  w ", "\t\u00a0\x00\xff\v", ""} {
		runs = nil
		texts := []string{
			"WRITE x " + value, "READ x", "SET colour " + value, "PREPARE s WRITE " + value, "EXECUTE s y " + value, "READ y",
		}
		for i, text := range texts {
			a, err := c.Do(text)
			assert.NilError(t, err)
			assert.Equal(t, a.Code, "", "%q", text)
			if i == 1 || i == 5 {
				assert.DeepEqual(t, a.Rows, []string{value})
			}
		}
		assert.Equal(t, len(runs), 4)
		assert.Equal(t, runs[0].Text, texts[0])
		assert.Equal(t, runs[2].Text, texts[4])
		assert.Equal(t, runs[2].Prepared, "WRITE "+value)
		assert.Equal(t, runs[2].Arguments, "y "+value)
		assert.DeepEqual(t, runs[2].Values, map[string]string{"colour": value})
	}
}

// TestAMemberWaitsForTheLineFeedOfTheEnd sends the two bytes of the end apart.
func TestAMemberWaitsForTheLineFeedOfTheEnd(t *testing.T) {
	_, members, _ := start(t, 1)
	conn, err := net.Dial("tcp4", members[0].Address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	buffer := make([]byte, 64)
	for _, part := range []string{"CONNECT g\n", "x\r", "y\r"} {
		_, err = conn.Write([]byte(part))
		assert.NilError(t, err)
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
		_, err = conn.Read(buffer)
		assert.ErrorContains(t, err, "timeout")
	}
	_, err = conn.Write([]byte("\n"))
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	n, err := conn.Read(buffer)
	assert.NilError(t, err)
	assert.Equal(t, string(buffer[:n]), "ERROR MISROUTED another member\r\n")
}
