package soak

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"eelgrassladder.example/eelgrassladder/internal/host/settings"
	"eelgrassladder.example/eelgrassladder/internal/lab/member"
	"eelgrassladder.example/eelgrassladder/internal/lab/testbed"
)

// begun is when the runs of these tests begin, long enough ago that all their times are past.
var begun = time.Now().Add(-time.Hour)

// atSecond returns a time of a run.
func atSecond(s float64) time.Time { return begun.Add(time.Duration(s * float64(time.Second))) }

// runWithVersions returns a run with two versions: key a moves from bakery to hotel, and key b,
// of bakery, is removed, at 100 s; key c stays with hotel.
func runWithVersions() *runner {
	r := &runner{plan: Plan{Teams: 2}, statements: statements{sent: map[string]sentStatement{}}}
	first := newVersion([]testbed.Team{{Name: "bakery", Keys: []string{"a", "b"}}, {Name: "hotel", Keys: []string{"c"}}})
	first.written, first.acknowledged = atSecond(0), atSecond(0)
	second := newVersion([]testbed.Team{{Name: "bakery"}, {Name: "hotel", Keys: []string{"a", "c"}}})
	second.written, second.acknowledged = atSecond(100), atSecond(100)
	r.versions.list = []version{first, second}
	return r
}

// TestARunForTheWrongTeamIsFound guards against a judge that passes what the platform counts
// as a statement in another's name.
func TestARunForTheWrongTeamIsFound(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		key, caller string
		sentAt      float64
		disturbed   span
		allowed     bool
	}{
		{"a", "bakery", 101.9, span{}, true},
		{"a", "bakery", 102.1, span{}, false},
		{"a", "hotel", 100.1, span{}, true},
		{"b", "bakery", 102.1, span{}, false},
		{"a", "school", 99, span{}, false},
		{"c", "bakery", 50, span{}, false},
		{"c", "", 50, span{}, false},
		{"c", "c", 50, span{}, false},
		{"unknown", "bakery", 50, span{}, false},
		{"unknown", "", 50, span{}, false},
		{"a", "bakery", 112.9, span{"proxy-0", atSecond(99), atSecond(111)}, true},
		{"a", "bakery", 113.1, span{"proxy-0", atSecond(99), atSecond(111)}, false},
		{"a", "bakery", 103, span{"proxy-1", atSecond(99), atSecond(111)}, false},
		{"a", "bakery", 110, span{storePart, atSecond(101), forever}, true},
		{"a", "school", 110, span{storePart, atSecond(101), forever}, false},
		{"a", "bakery", 104.9, span{"proxy-0" + linkToStore, atSecond(99), atSecond(111)}, true},
		{"a", "bakery", 105.1, span{"proxy-0" + linkToStore, atSecond(99), atSecond(111)}, false},
	} {
		r := runWithVersions()
		for i := range 2 {
			r.processes = append(r.processes, &process{settings: settings.Node{Name: fmt.Sprint("proxy-", i)}})
		}
		if c.disturbed.to != (time.Time{}) {
			r.spans.closed = []span{c.disturbed}
		}
		r.checkCaller(member.Run{Member: "m", ID: "q", Caller: c.caller}, sentStatement{key: c.key, proxy: "proxy-0", operation: 1, began: atSecond(c.sentAt)})
		assert.Equal(t, len(r.violations.messages) == 0, c.allowed, "%+v: %q", c, r.violations.messages)
	}
}

// TestACutProxyLearnsFromOthersThatAreInTouch guards against a time bound for a proxy that
// neither the store nor another proxy could tell of a version, and against none for one that
// others could tell.
func TestACutProxyLearnsFromOthersThatAreInTouch(t *testing.T) {
	t.Parallel()
	var s spans
	s.closed = []span{
		{"proxy-0" + linkToStore, atSecond(99), atSecond(120)},
		{"proxy-1", atSecond(101), atSecond(103)},
	}
	proxies := []string{"proxy-0", "proxy-1", "proxy-2"}
	assert.Equal(t, s.learned("proxy-0", proxies, atSecond(100)), atSecond(108))
	assert.Equal(t, s.learned("proxy-1", proxies, atSecond(100)), atSecond(105))
	assert.Equal(t, s.learned("proxy-2", proxies, atSecond(100)), atSecond(102))
	assert.Equal(t, s.learned("proxy-0", proxies[:2], atSecond(90)), atSecond(95))
	for i := range proxies[1:] {
		s.closed = append(s.closed, span{proxies[1+i] + linkToStore, atSecond(104), atSecond(109 + float64(i))})
	}
	slices.SortFunc(s.closed, func(a, b span) int { return a.from.Compare(b.from) })
	assert.Equal(t, s.learned("proxy-0", proxies, atSecond(100)), atSecond(114), "the store served no proxy up to 109 s")
	assert.Equal(t, s.learnedByAll(atSecond(100)), atSecond(125))
}

// TestAVersionThatDecreasesIsFound guards against a proxy that returns to an earlier version.
func TestAVersionThatDecreasesIsFound(t *testing.T) {
	t.Parallel()
	var f floors
	for i, c := range []struct {
		starts          int
		began, ran      float64
		possible        []int
		notedAsDecrease bool
	}{
		{1, 1, 2, []int{0, 1}, false},
		{1, 3, 4, []int{1, 2}, false}, // at least version 1, known at 4 s
		{1, 3, 5, []int{0}, false},    // began before that was known
		{1, 5, 6, []int{0, 3}, false}, // version 3
		{1, 7, 8, []int{0, 1, 2}, true},
		{1, 7, 8, []int{3}, false},
		{2, 9, 10, []int{2}, false}, // another process
		{2, 11, 12, []int{1}, true},
	} {
		assert.Equal(t, !f.note("proxy-0", c.starts, atSecond(c.began), atSecond(c.ran), c.possible), c.notedAsDecrease, "%d", i)
	}
}

// TestAnOperationRunsForOneTeam guards against a transaction whose later statements run for the
// team of a newer version.
func TestAnOperationRunsForOneTeam(t *testing.T) {
	t.Parallel()
	r := runWithVersions()
	for i, caller := range []string{"bakery", "bakery", "hotel"} {
		r.checkCaller(member.Run{Member: "m", ID: fmt.Sprint(i), Caller: caller}, sentStatement{key: "a", proxy: "p", operation: 7, began: atSecond(101)})
	}
	assert.Equal(t, len(r.violations.messages), 1)
	assert.Assert(t, cmp.Contains(r.violations.messages[0], `ran 2 for "hotel" in an operation of "bakery"`))
}

// TestAWrongAnswerToAKeyIsFound guards against proxies that refuse a team or let in a stranger
// without a violation.
func TestAWrongAnswerToAKeyIsFound(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		key     string
		sentAt  float64
		letIn   bool
		allowed bool
	}{
		{"c", 50, false, false},
		{"c", 101, false, false},
		{"a", 101, false, false}, // both versions have a holder
		{"b", 99, false, true},   // refused after the second version, at the latest now
		{"b", 101, true, true},
		{"b", 103, true, false},
		{"unknown", 50, true, false},
		{"unknown", 50, false, true},
	} {
		r := runWithVersions()
		var err error
		if !c.letIn {
			err = fmt.Errorf(`unexpected answer "ERROR %s no"`, unauthorized)
		}
		r.checkGreeting("p", c.key, atSecond(c.sentAt), err)
		assert.Equal(t, len(r.violations.messages) == 0, c.allowed, "%+v: %q", c, r.violations.messages)
	}
}

// TestAKeyInAMessageIsFound guards against a key that leaves the proxy.
func TestAKeyInAMessageIsFound(t *testing.T) {
	t.Parallel()
	r := &runner{plan: Plan{Teams: 2, Seed: 1}}
	r.checkMessage("m", "CONNECT g "+teamName(0)+" m")
	assert.Equal(t, len(r.violations.messages), 0)
	r.checkMessage("m", "CONNECT g "+r.keyOf(0, 1)+" m")
	assert.Equal(t, len(r.violations.messages), 1)
}

// TestTooManyOperationsOfATeamAreFound checks the bound at its edge, and that a lower limit
// binds in times that begin once all proxies may know it.
func TestTooManyOperationsOfATeamAreFound(t *testing.T) {
	t.Parallel()
	// The limits are (10 x 5 + 10) x 1.1 + 20 = 86, and 20 from the second version on.
	for _, c := range []struct {
		count int
		from  float64
		want  string
	}{
		{86, 50, ""},
		{87, 50, "87 operations of hotel ran within 5s"},
		{86, 104, ""},
		{20, 110, ""},
		{21, 110, "21 operations of hotel ran within 5s"},
	} {
		r := runWithVersions()
		for i, limit := range []float64{10, 0} {
			teams := r.versions.list[i].teams
			r.versions.list[i].teams = withTeam(teams, "hotel", func(t testbed.Team) testbed.Team {
				t.Rate, t.Burst = limit, limit
				return t
			})
		}
		for i := range c.count {
			at := atSecond(c.from + 4.9*float64(i)/float64(c.count))
			r.operations.note(uint64(i), "hotel", at)
			r.operations.note(uint64(i), "hotel", at.Add(time.Millisecond)) // the next statement of a transaction
		}
		r.checkQuotas()
		text := strings.Join(r.violations.messages, "; ")
		assert.Equal(t, text == "", c.want == "", "%+v: %s", c, text)
		assert.Assert(t, cmp.Contains(text, c.want))
	}
}
