package member_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/lab/estate"
	"eelgrassladder.example/eelgrassladder/internal/lab/member"
)

// TestAReplicaThatBeginsToLagKeepsWhatItHasShown holds the stand-in to what a
// real replica does: seed 102 of the soak once saw a replica un-apply entries.
func TestAReplicaThatBeginsToLagKeepsWhatItHasShown(t *testing.T) {
	g := task.New(context.Background())
	defer func() {
		g.Stop()
		_ = g.Wait()
	}()
	group := member.NewGroup("g", 1, time.Millisecond)
	primary, err := group.Add(g, "p", 2, 8, 0)
	assert.NilError(t, err)
	replica, err := group.Add(g, "r", 2, 8, 0)
	assert.NilError(t, err)
	c, err := estate.Dial(primary.Address, "g")
	assert.NilError(t, err)
	defer c.Close()
	a, err := c.Do("WRITE x 1")
	assert.NilError(t, err)
	assert.Assert(t, a.OK())
	r, err := estate.Dial(replica.Address, "g")
	assert.NilError(t, err)
	defer r.Close()
	a, err = r.Do("READ x")
	assert.NilError(t, err)
	assert.DeepEqual(t, a.Rows, []string{"1"})
	replica.SetFault(member.Fault{Lag: time.Minute})
	a, err = r.Do("READ x")
	assert.NilError(t, err)
	assert.DeepEqual(t, a.Rows, []string{"1"})
}
