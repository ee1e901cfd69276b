package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/policy/placement"
	"eelgrassladder.example/eelgrassladder/internal/table/scheduler"
)

// submitFor adds a write of a team and returns the assignment's connection.
func (f *fixture) submitFor(t *testing.T, team string) eelgrassladder.Connection {
	t.Helper()
	var connection eelgrassladder.Connection
	assigned := false
	f.table.Submit(&scheduler.Job{
		Need: placement.Need{Group: "g", Write: true}, Team: team, Arrived: f.timer.Now(), Timeout: time.Second, Target: 400 * time.Millisecond,
		Run: func(a scheduler.Assignment) { connection, assigned = a.Connection, !a.Refused },
	})
	f.runNext(t, 1)
	assert.Assert(t, assigned, "the statement of %q was refused", team)
	return connection
}

// TestAConnectionServesOneTeam guards against a statement that an endpoint attributes to
// another team, and against teams that cannot be served because others hold all connections.
func TestAConnectionServesOneTeam(t *testing.T) {
	f := newFixture(t, 2, 1)
	give := func(team string) {
		f.table.Return("p", connection{closed: &f.closed, team: team}, scheduler.Outcome{Answered: true})
	}
	for _, team := range []string{"bakery", "hotel"} {
		assert.Assert(t, f.submitFor(t, team) == nil)
	}
	give("bakery")
	give("hotel")
	assert.Equal(t, f.submitFor(t, "bakery").Team(), "bakery")
	give("bakery")
	assert.Equal(t, f.closed, 0)
	assert.Assert(t, f.submitFor(t, "school") == nil, "a connection of another team was used")
	assert.Equal(t, f.closed, 1, "the share of connections was exceeded")
	give("school")
	assert.Equal(t, f.submitFor(t, "bakery").Team(), "bakery", "the connection that was used last was closed")
}

// TestAControlRequestUsesAConnectionOfAnyTeam guards against control requests that have to
// close connections which teams use.
func TestAControlRequestUsesAConnectionOfAnyTeam(t *testing.T) {
	f := newFixture(t, 1, 1)
	assert.Assert(t, f.submitFor(t, "bakery") == nil)
	f.table.Return("p", connection{closed: &f.closed, team: "bakery"}, scheduler.Outcome{Answered: true})
	c, ok := f.table.Borrow("p")
	assert.Assert(t, ok && c.Team() == "bakery")
	assert.Equal(t, f.closed, 0)
}

// TestAConnectionThatKeepsMuchOfASessionIsClosed guards against idle connections that keep the
// session values of clients that are gone.
func TestAConnectionThatKeepsMuchOfASessionIsClosed(t *testing.T) {
	f := newFixture(t, 2, 1)
	assert.Assert(t, f.submitFor(t, "") == nil)
	f.table.Return("p", connection{closed: &f.closed, retained: 8 << 10}, scheduler.Outcome{Answered: true})
	assert.Equal(t, f.closed, 0)
	assert.Assert(t, f.submitFor(t, "") != nil)
	f.table.Return("p", connection{closed: &f.closed, retained: 1 << 20}, scheduler.Outcome{Answered: true})
	assert.Equal(t, f.closed, 1)
	assert.Assert(t, f.submitFor(t, "") == nil)
}
