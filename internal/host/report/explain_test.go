package report_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/host/report"
)

// TestExplainListsChangesOfPrimaryAndNearbyEntries reads two logs. The second has a line
// with a prefix before the JSON, and an entry of another group.
func TestExplainListsChangesOfPrimaryAndNearbyEntries(t *testing.T) {
	var l report.MergedLog
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
	var output strings.Builder
	assert.NilError(t, l.Explain(&output, "q1"))
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	assert.Equal(t, len(lines), 6, output.String())
	assert.Assert(t, strings.HasPrefix(lines[0], "Changes of primary of g "), lines[0])
	assert.Assert(t, strings.Contains(lines[1], "Reason=Dark") && lines[2] == "", output.String())
	lines = lines[3:]
	assert.Assert(t, strings.Contains(lines[0], "host-2") && strings.Contains(lines[0], "Reason=Dark"))
	assert.Assert(t, strings.HasPrefix(lines[1], ">") && strings.Contains(lines[1], "Try failed"))
	assert.Assert(t, strings.Contains(lines[2], "Code=TimedOut"))
	assert.ErrorContains(t, l.Explain(&output, "q9"), "no log entry mentions request q9")
}

// readLogs reads several logs, whose sources are named one, two, three and
// four.
func readLogs(t *testing.T, files ...string) *report.MergedLog {
	t.Helper()
	l := &report.MergedLog{}
	for i, text := range files {
		assert.NilError(t, l.Read([]string{"one", "two", "three", "four"}[i], strings.NewReader(text)))
	}
	return l
}

// logLine returns a line of a log written the given number of seconds after
// 09:00.
func logLine(seconds float64, message, fields string) string {
	at := time.Date(2026, 1, 1, 9, 0, 0, 0, time.UTC).Add(time.Duration(seconds * float64(time.Second)))
	return fmt.Sprintf(`{"Time":%q,"Level":"INFO","Message":%q,%s}`+"\n", at.Format(time.RFC3339Nano), message, fields)
}

// explainLines returns the lines that f writes, and fails unless there are
// count of them.
func explainLines(t *testing.T, count int, f func(*strings.Builder) error) []string {
	t.Helper()
	var text strings.Builder
	assert.NilError(t, f(&text))
	lines := strings.Split(strings.TrimRight(text.String(), "\n"), "\n")
	assert.Equal(t, len(lines), count, text.String())
	return lines
}

// assertContainsAll asserts that a line contains all texts.
func assertContainsAll(t *testing.T, line string, texts ...string) {
	t.Helper()
	for _, text := range texts {
		assert.Assert(t, strings.Contains(line, text), "%q is not in %s", text, line)
	}
}

// TestRepeatedEntriesAreMergedAcrossLogs merges entries of two logs that differ only in the
// IP address in their error and in the number of entries left out.
func TestRepeatedEntriesAreMergedAcrossLogs(t *testing.T) {
	notBegun := `"Group":"g","Reason":"Dark","Error":"endpoint m2: dial tcp4 10.0.0.%d:8509: i/o timeout","Omitted":%d`
	var files [2]string
	for i := range 20 {
		files[i%2] += logLine(1+float64(i)/10, "Change of primary not begun", fmt.Sprintf(notBegun, i, i%2))
	}
	files[0] += logLine(2.5, "Change of primary not begun", `"Group":"g","Reason":"Down","Error":"endpoint m2: dial tcp4 10.0.0.1:8509: i/o timeout"`)
	files[0] += logLine(2.6, "Request failed", `"Request":"q1","Group":"g","Code":"Busy","PositionAgeMs":60507382`)
	files[0] += logLine(2.7, "Try failed", `"Request":"q1","Endpoint":"m1","Reason":"Lagging"`)
	files[0] += logLine(2.8, "Try failed", `"Request":"q1","Endpoint":"m1","Reason":"Lagging"`)
	l := readLogs(t, files[0], files[1])
	lines := explainLines(t, 5, func(w *strings.Builder) error { return l.Explain(w, "q1") })
	assertContainsAll(t, lines[0], "  -1.600 s", "Change of primary not begun [20 times and 10 left out until +0.300 s in one, two]",
		"Error=endpoint m2: dial tcp4 10.0.0.0:8509: i/o timeout", "Reason=Dark")
	assertContainsAll(t, lines[1], "Change of primary not begun Error", "Reason=Down")
	assertContainsAll(t, lines[2], ">", "Request failed", "PositionAgeMs=60507382")
	assertContainsAll(t, lines[3], ">", "Try failed")
	assertContainsAll(t, lines[4], ">", "Try failed")
}

// TestEqualEntriesAreNotMergedAcrossAChangeOrAGap lists an entry "Change of primary not
// begun" separately if a change has begun since the equal entry before it, or if more
// than the longest gap between merged entries lies between them.
func TestEqualEntriesAreNotMergedAcrossAChangeOrAGap(t *testing.T) {
	notBegun := `"Group":"g","Reason":"Dark","Error":"no answer"`
	l := readLogs(t, logLine(1, "Change of primary not begun", notBegun)+logLine(2, "Change of primary not begun", notBegun)+
		logLine(2.1, "Change of primary begun", `"Group":"g","Token":5,"Reason":"Dark"`)+
		logLine(2.2, "Change of primary not begun", notBegun)+
		logLine(6, "Change of primary not begun", notBegun))
	lines := explainLines(t, 5, func(w *strings.Builder) error { return l.ExplainGroup(w, "g", time.Time{}, time.Time{}) })
	assertContainsAll(t, lines[1], "not begun [2 times until +1.000 s]")
	assertContainsAll(t, lines[2], ">", "Change of primary begun")
	assertContainsAll(t, lines[3], "+1.200 s", "not begun Error")
	assertContainsAll(t, lines[4], "+5.000 s", "not begun Error")
}

// incident returns the logs of three proxies for a group whose primary m1 is
// replaced by m2, and whose second change, from m2, is given up.
func incident() []string {
	first := logLine(1, "Endpoint listed", `"Group":"g","Endpoint":"m2","Leaving":true,"Revision":3`) +
		logLine(10, "Primary did not answer", `"Group":"g","Endpoint":"m1","Reason":"EOF"`) +
		logLine(10.1, "Primary changed", `"Group":"g","Endpoint":"m1","Term":1,"Closed":true,"Revision":7`) +
		logLine(10.1, "Change of primary begun", `"Group":"g","Primary":"m1","Reason":"Down","Token":7,"Term":1`) +
		logLine(10.2, "Replica chosen", `"Group":"g","Endpoint":"m2","Received":"1.181","Token":7,"Kept":"1.181","KeptFrom":"Commit","Members":["m2","m3"]`) +
		logLine(10.5, "Primary changed", `"Group":"g","Endpoint":"m2","Term":2,"Closed":false,"Revision":7`) +
		logLine(10.5, "Change of primary done", `"Group":"g","Primary":"m2","Reason":"Down","Term":2`)
	second := logLine(10.6, "Primary changed", `"Group":"g","Endpoint":"m2","Term":2,"Closed":false,"Revision":8`) +
		logLine(10.7, "Request failed", `"Request":"q1","Group":"g","Code":"Lagging"`) +
		logLine(18, "Request failed", `"Request":"q2","Group":"g","Kind":"Commit","Code":"InDoubt","Database":"d1"`) +
		logLine(18.1, "Request failed", `"Request":"q3","Group":"g","Kind":"Commit","Code":"InDoubt","Database":"d2"`) +
		logLine(18.2, "Proxy is leaving", `"Proxy":"two","Clients":4`)
	third := logLine(19, "Endpoint is gone", `"Endpoint":"m2","Revision":9`) +
		logLine(20, "Change of primary begun", `"Group":"g","Primary":"m2","Reason":"Gone","Token":10,"Term":2`) +
		logLine(20.1, "Change of primary goes on", `"Group":"g","Token":10,"Error":"no replica answers"`) +
		logLine(22.5, "Change of primary given up", `"Group":"g","Token":10`) +
		logLine(30, "Request failed", `"Request":"q4","Group":"g","Code":"Lagging"`) +
		logLine(31, "Endpoint listed", `"Group":"other","Endpoint":"m9"`)
	return []string{first, second, third}
}

func TestExplainListsChangesOfPrimaryBeforeTheRequest(t *testing.T) {
	l := readLogs(t, incident()...)
	// Changes of primary with their heading, an empty line, entries around the request.
	lines := explainLines(t, 5+1+7, func(w *strings.Builder) error { return l.Explain(w, "q1") })
	assertContainsAll(t, lines[0], "Changes of primary of g", "+0.000 s is 2026-01-01T09:00:10.7Z")
	assertContainsAll(t, lines[1], "one", "Change of primary begun", "Reason=Down", "Token=7")
	assertContainsAll(t, lines[2], "Replica chosen", "Endpoint=m2", "Received=1.181", "Kept=1.181", "KeptFrom=Commit", "Members=[m2 m3]")
	assertContainsAll(t, lines[3], "Primary changed [2 times until -0.100 s in one, two]", "Endpoint=m2", "Term=2")
	assertContainsAll(t, lines[4], "Change of primary done", "Primary=m2")
	assert.Equal(t, lines[5], "")

	// The change that was given up 7.5 s earlier explains why the group still
	// has no primary.
	lines = explainLines(t, 4+1+1, func(w *strings.Builder) error { return l.Explain(w, "q4") })
	assertContainsAll(t, lines[1], "three", "Change of primary begun", "Reason=Gone")
	assertContainsAll(t, lines[3], "Change of primary given up")
	assertContainsAll(t, lines[5], ">", "Request=q4")
}

func TestExplainGroupListsWhatConcernsItsPrimariesAndMembers(t *testing.T) {
	l := readLogs(t, append(incident(), logLine(32, "Primary lacks commits that may be acknowledged", `"Group":"g","Endpoint":"m3","Log":"1.146","Kept":"1.181"`)+
		logLine(33, "Reload asked for; settings are read at the start alone", `"Level":"INFO"`))...)
	lines := explainLines(t, 16, func(w *strings.Builder) error { return l.ExplainGroup(w, "g", time.Time{}, time.Time{}) })
	assertContainsAll(t, lines[0], "Group g, from 2026-01-01T09:00:01Z")
	assertContainsAll(t, lines[1], "Endpoint listed", "Leaving=true")
	assertContainsAll(t, lines[4], ">", "Change of primary begun")
	assertContainsAll(t, lines[5], ">", "Replica chosen", "Kept=1.181", "Members=[m2 m3]")
	assertContainsAll(t, lines[7], ">", "Change of primary done")
	assertContainsAll(t, lines[8], "Request failed", "Code=InDoubt", "Database=d1", "2 times")
	assertContainsAll(t, lines[9], "Proxy is leaving")
	assertContainsAll(t, lines[10], "Endpoint is gone", "Endpoint=m2")
	assertContainsAll(t, lines[13], "Change of primary given up")
	assertContainsAll(t, lines[14], ">", "Primary lacks commits that may be acknowledged", "Kept=1.181", "Log=1.146")
	assertContainsAll(t, lines[15], "Reload asked for")

	from := time.Date(2026, 1, 1, 9, 0, 18, 0, time.UTC)
	lines = explainLines(t, 4, func(w *strings.Builder) error { return l.ExplainGroup(w, "g", from, from.Add(time.Second)) })
	assertContainsAll(t, lines[1], "+0.000 s", "Code=InDoubt")
	var text strings.Builder
	assert.ErrorContains(t, l.ExplainGroup(&text, "h", time.Time{}, time.Time{}), "no log entry mentions group h")
	assert.ErrorContains(t, l.ExplainGroup(&text, "g", from.Add(time.Hour), time.Time{}), "no log entry concerns the primary or members of group g")
}
