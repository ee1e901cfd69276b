// Package budget is the table of the accounts of clients: how much memory each holds, and
// which wait for memory. It implements the root package's Budget.
package budget

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/budget"
	"eelgrassladder.example/eelgrassladder/internal/table/lockrank"
)

// recheckInterval is how often a request that waits looks for clients to close. Released
// memory is granted at once.
const recheckInterval = 200 * time.Millisecond

// maxSearching is how many of the requests that wait look for clients to close. A search goes
// through all holders, and those behind wait for the same memory.
const maxSearching = 16

// Table holds the accounts of clients. Use New to make one.
type Table struct {
	timer  eelgrassladder.Timer
	limits policy.Limits
	// mutex guards the fields below, and those of accounts that say so.
	mutex *lockrank.Mutex
	// open is the number of accounts.
	open int
	// used is the sum of the charges.
	used int64
	// holders are the accounts with a charge.
	holders map[*account]struct{}
	// waiting are the requests that wait, in the order of their arrival.
	waiting []*request
}

// account is the account of one client.
type account struct {
	table    *Table
	displace func()
	// held is what the client holds for each use. Only its own goroutine uses it.
	held [eelgrassladder.MemoryUses]int
	// charged is the charge. It changes under the table's mutex, by the client's own goroutine
	// or while that waits, so that the client may read it without the mutex.
	charged int64
	// changed is when the charge was last changed; guarded by the table's mutex.
	changed time.Time
	// displaced is true once the client is to be closed, and closed once its account is;
	// guarded by the table's mutex.
	displaced, closed bool
	// request is the client's request that waits; nil if there is none. It is guarded by the
	// table's mutex.
	request *request
}

// request is a request for memory that waits.
type request struct {
	account *account
	wanted  int64
	asked   time.Time
	// decided receives the decision; nil if the request is granted. It has room for it.
	decided chan error
}

// New returns a table without accounts.
func New(t eelgrassladder.Timer, l policy.Limits) *Table {
	return &Table{timer: t, limits: l, mutex: lockrank.New(lockrank.Budget), holders: map[*account]struct{}{}}
}

// Open opens the account of a new client. It reports false if there are too many.
func (t *Table) Open(displace func()) (eelgrassladder.Account, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.open >= t.limits.Connections {
		return nil, false
	}
	t.open++
	return &account{table: t, displace: displace}, true
}

// Held returns the sum of the charges: what clients hold above what each may hold without a
// charge.
func (t *Table) Held() int64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.used
}

// Hold sets what the client holds for a use. It takes the mutex only if the charge changes.
func (a *account) Hold(u eelgrassladder.MemoryUse, bytes int) error {
	before := a.held[u]
	if bytes == before {
		return nil
	}
	if u == eelgrassladder.SessionMemory && bytes > before && bytes > a.table.limits.Session {
		return errors.WithStack(eelgrassladder.ErrSessionTooLarge)
	}
	a.held[u] = bytes
	sum := int64(0)
	for _, h := range a.held {
		sum += int64(h)
	}
	wanted := a.table.limits.Charge(sum)
	if wanted == a.charged {
		return nil
	}
	if err := a.table.change(a, wanted); err != nil {
		a.held[u] = before
		return errors.WithStack(err)
	}
	return nil
}

// Close releases all that the client holds.
func (a *account) Close() {
	t := a.table
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	t.open--
	t.setCharge(a, 0)
	t.grantWaiting()
}

// change changes the charge of an account. It waits until a higher one is granted or refused.
func (t *Table) change(a *account, wanted int64) error {
	r, err := t.begin(a, wanted)
	if r == nil {
		return err
	}
	return t.await(r)
}

// begin changes the charge of an account, or returns a request that waits.
func (t *Table) begin(a *account, wanted int64) (*request, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if wanted <= a.charged {
		t.setCharge(a, wanted)
		t.grantWaiting()
		return nil, nil
	}
	if a.displaced || a.closed {
		return nil, eelgrassladder.ErrDisplaced
	}
	switch t.limits.Decide(t.used, len(t.waiting), policy.Request{Charged: a.charged, Wanted: wanted}) {
	case policy.Grant:
		t.setCharge(a, wanted)
		return nil, nil
	case policy.Refuse:
		return nil, eelgrassladder.ErrMemoryShort
	default:
		r := &request{account: a, wanted: wanted, asked: t.timer.Now(), decided: make(chan error, 1)}
		a.request = r
		t.waiting = append(t.waiting, r)
		return r, nil
	}
}

// await waits for the decision about a request, and closes other clients for it.
func (t *Table) await(r *request) error {
	ticks := t.timer.Subscribe(recheckInterval)
	defer ticks.Stop()
	for {
		for _, a := range t.recheck(r) {
			a.displace()
		}
		select {
		case err := <-r.decided:
			return err
		case <-ticks.C():
		}
	}
}

// recheck refuses a request that has waited for too long. It returns the clients to be closed
// for one that goes on to wait.
func (t *Table) recheck(r *request) []*account {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if r.account.request != r {
		return nil // decided
	}
	now := t.timer.Now()
	asked := policy.Request{Charged: r.account.charged, Wanted: r.wanted, Waited: now.Sub(r.asked)}
	if t.limits.Decide(t.used, 0, asked) == policy.Refuse {
		t.decide(r, eelgrassladder.ErrMemoryShort)
		return nil
	}
	if slices.Index(t.waiting, r) >= maxSearching {
		return nil
	}
	var accounts []*account
	var holders []policy.Holder
	for a := range t.holders {
		if a != r.account {
			accounts = append(accounts, a)
			holders = append(holders, policy.Holder{Charged: a.charged, Unchanged: now.Sub(a.changed), Displaced: a.displaced})
		}
	}
	var displaced []*account
	for _, i := range t.limits.Displace(holders, t.used, asked) {
		a := accounts[i]
		a.displaced = true
		if a.request != nil {
			t.decide(a.request, eelgrassladder.ErrDisplaced)
		}
		displaced = append(displaced, a)
	}
	return displaced
}

// decide passes on the decision about a request, which then waits no more. The caller holds
// the mutex.
func (t *Table) decide(r *request, err error) {
	r.account.request = nil
	if i := slices.Index(t.waiting, r); i >= 0 {
		t.waiting = slices.Delete(t.waiting, i, i+1)
	}
	r.decided <- err
}

// grantWaiting grants the requests that fit now, in the order of their arrival. The caller
// holds the mutex.
func (t *Table) grantWaiting() {
	for i := 0; i < len(t.waiting); {
		r := t.waiting[i]
		if t.limits.Decide(t.used, 0, policy.Request{Charged: r.account.charged, Wanted: r.wanted}) != policy.Grant {
			i++
			continue
		}
		t.setCharge(r.account, r.wanted)
		t.decide(r, nil)
	}
}

// setCharge sets the charge of an account. The caller holds the mutex.
func (t *Table) setCharge(a *account, charge int64) {
	t.used += charge - a.charged
	a.charged, a.changed = charge, t.timer.Now()
	if charge > 0 {
		t.holders[a] = struct{}{}
	} else {
		delete(t.holders, a)
	}
}
