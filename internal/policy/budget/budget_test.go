package budget_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"eelgrassladder.example/eelgrassladder/internal/policy/budget"
)

const (
	megabyte   = 1 << 20
	maxMessage = 1 << 20
)

// smallest are the limits of the smallest machine.
var smallest = budget.NewLimits(184 * megabyte)

// TestOrdinaryClientsHaveNoCharge guards against limits that ordinary clients reach: all
// connections of the smallest machine, 4,200 descriptors less 800, with messages of 1,200 bytes
// and answers of 3,000, each counted twice, and some values.
func TestOrdinaryClientsHaveNoCharge(t *testing.T) {
	assert.Assert(t, smallest.Connections >= 4200-800, "%d", smallest.Connections)
	session := int64(2 * 1500)
	assert.Equal(t, smallest.Charge(session+2*1200), int64(0))
	assert.Equal(t, smallest.Charge(session+2*3000), int64(0))
}

// TestALargestMessageIsGrantedWhenCalm guards against limits that refuse a message of nearly
// 1 MiB, or a session value of that length, at the smallest machine.
func TestALargestMessageIsGrantedWhenCalm(t *testing.T) {
	message := smallest.Charge(int64(budget.MessageBytes(maxMessage, maxMessage)))
	value := smallest.Charge(int64(smallest.Session))
	assert.Equal(t, smallest.Decide(0, 0, budget.Request{Wanted: message}), budget.Grant)
	assert.Equal(t, smallest.Decide(message, 0, budget.Request{Charged: message, Wanted: message + value}), budget.Grant)
	assert.Assert(t, smallest.Session >= 2*(maxMessage+300))
	assert.Equal(t, smallest.Decide(0, 0, budget.Request{Wanted: smallest.Shared + 1}), budget.Refuse)
}

// TestSmallRequestsUseTheReserve guards against a crowd with large messages that leaves nothing
// for small ones.
func TestSmallRequestsUseTheReserve(t *testing.T) {
	full := smallest.Shared - smallest.Reserve
	assert.Equal(t, smallest.Decide(full, 0, budget.Request{Wanted: budget.Small}), budget.Grant)
	assert.Equal(t, smallest.Decide(full, 0, budget.Request{Wanted: 2 * budget.Small}), budget.Wait)
	assert.Equal(t, smallest.Decide(smallest.Shared, 0, budget.Request{Wanted: budget.Small}), budget.Wait)
}

// TestAWaitEnds guards against requests that wait for ever, and against so many that wait that
// what the kernel holds for them exceeds the memory.
func TestAWaitEnds(t *testing.T) {
	r := budget.Request{Wanted: 2 * maxMessage}
	assert.Equal(t, smallest.Decide(smallest.Shared, 0, r), budget.Wait)
	assert.Equal(t, smallest.Decide(smallest.Shared, smallest.Waiting, r), budget.Refuse)
	r.Waited = time.Minute
	assert.Equal(t, smallest.Decide(smallest.Shared, 0, r), budget.Refuse)
}

// TestTheLargestAndSlowestAreClosedFirst guards against closing those that have only begun, or
// more than are needed.
func TestTheLargestAndSlowestAreClosedFirst(t *testing.T) {
	const mega = int64(megabyte)
	l := budget.Limits{Shared: 10 * mega}
	holders := []budget.Holder{
		{Charged: 1 * mega, Unchanged: 2 * time.Second},
		{Charged: 3 * mega, Unchanged: 2 * time.Second},
		{Charged: 5 * mega, Unchanged: 10 * time.Millisecond},
		{Charged: 1 * mega, Unchanged: 20 * time.Second},
	}
	r := budget.Request{Wanted: 1 * mega}
	assert.DeepEqual(t, l.Displace(holders, 10*mega, r), []int{3})
	r.Wanted = 2 * mega
	assert.DeepEqual(t, l.Displace(holders, 10*mega, r), []int{3, 1})
	r.Wanted = 6 * mega
	assert.Equal(t, len(l.Displace(holders, 10*mega, r)), 0, "closing them does not suffice")
	holders[1].Displaced = true
	r.Wanted = 3 * mega
	assert.Equal(t, len(l.Displace(holders, 10*mega, r)), 0, "the one that is being closed suffices")
}

// TestDisplacedClientsMakeRoom checks for any holders that those chosen suffice, none of them
// is needless, and none has only begun.
func TestDisplacedClientsMakeRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := budget.NewLimits(rapid.Int64Range(32*megabyte, 1024*megabyte).Draw(t, "memory"))
		var holders []budget.Holder
		used := int64(0)
		for range rapid.IntRange(0, 40).Draw(t, "holders") {
			h := budget.Holder{
				Charged:   rapid.Int64Range(1, 4*megabyte).Draw(t, "charged"),
				Unchanged: time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "unchanged")),
				Displaced: rapid.Bool().Draw(t, "displaced"),
			}
			holders, used = append(holders, h), used+h.Charged
		}
		r := budget.Request{Wanted: rapid.Int64Range(budget.Small+1, l.Shared-l.Reserve).Draw(t, "wanted")}
		chosen := l.Displace(holders, used, r)
		left, last := used, int64(0)
		for _, h := range holders {
			if h.Displaced {
				left -= h.Charged
			}
		}
		for _, i := range chosen {
			assert.Assert(t, !holders[i].Displaced && holders[i].Unchanged >= time.Second)
			last = holders[i].Charged
			left -= last
		}
		if len(chosen) > 0 {
			assert.Equal(t, l.Decide(left, 0, r), budget.Grant, "the chosen do not suffice")
			assert.Equal(t, l.Decide(left+last, 0, r), budget.Wait, "the last one is needless")
		}
	})
}
