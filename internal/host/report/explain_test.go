package report_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/host/report"
)

func TestAFailedRequestIsExplainedByWhatWasDecidedAroundIt(t *testing.T) {
	var l report.Log
	assert.NilError(t, l.Read("one.log", strings.NewReader(`
{"Time":"2026-01-01T00:00:10Z","Level":"INFO","Message":"Try failed","Request":"q1","Endpoint":"m1","Reason":"timeout"}
{"Time":"2026-01-01T00:00:11Z","Level":"INFO","Message":"Request failed","Request":"q1","Group":"g","Code":"TimedOut"}
{"Time":"2026-01-01T00:00:11Z","Level":"INFO","Message":"Request failed","Request":"q2","Group":"g","Code":"Busy"}
{"Time":"2026-01-01T00:01:11Z","Level":"INFO","Message":"Change of primary begun","Group":"g"}
not a line of the log
`)))
	assert.NilError(t, l.Read("two.log", strings.NewReader(`
  9.9 host-2 {"Time":"2026-01-01T00:00:09Z","Level":"INFO","Message":"Change of primary begun","Group":"g","Reason":"Dark"}
{"Time":"2026-01-01T00:00:09Z","Level":"INFO","Message":"Change of primary begun","Group":"other"}
`)))
	var story strings.Builder
	assert.NilError(t, l.Explain(&story, "q1"))
	lines := strings.Split(strings.TrimSpace(story.String()), "\n")
	assert.Equal(t, len(lines), 3, story.String())
	assert.Assert(t, strings.Contains(lines[0], "host-2") && strings.Contains(lines[0], "Reason=Dark"))
	assert.Assert(t, strings.HasPrefix(lines[1], ">") && strings.Contains(lines[1], "Try failed"))
	assert.Assert(t, strings.Contains(lines[2], "Code=TimedOut"))
	assert.ErrorContains(t, l.Explain(&story, "q9"), "no line tells of request q9")
}
