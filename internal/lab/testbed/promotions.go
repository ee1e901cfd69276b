package testbed

import (
	"sync"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/gen/cloud"
	"eelgrassladder.example/eelgrassladder/internal/lab/member"
)

// promotionQueue holds the orders that wait while the promotion interface stands still.
type promotionQueue struct {
	// mutex guards the fields below. No other lock is taken while it is held.
	mutex sync.Mutex
	held  bool
	// waiting holds the orders in the sequence of their arrival.
	waiting []waitingOrder
}

// waitingOrder is an order that was read from its connection but not executed. It is
// immutable.
type waitingOrder struct {
	payload *cloud.PromotePayload
	// result receives the result of the order once. It has room for it.
	result chan error
}

// add adds an order if the promotion interface stands still. It reports whether it does.
func (q *promotionQueue) add(p *cloud.PromotePayload) (waitingOrder, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if !q.held {
		return waitingOrder{}, false
	}
	w := waitingOrder{payload: p, result: make(chan error, 1)}
	q.waiting = append(q.waiting, w)
	return w, true
}

// hold makes later orders wait.
func (q *promotionQueue) hold() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.held = true
}

// release returns the waiting orders, and lets later ones pass.
func (q *promotionQueue) release() []waitingOrder {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	waiting := q.waiting
	q.held, q.waiting = false, nil
	return waiting
}

// orders returns the waiting orders in the sequence of their arrival.
func (q *promotionQueue) orders() []member.Order {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var orders []member.Order
	for _, w := range q.waiting {
		orders = append(orders, orderOf(w.payload))
	}
	return orders
}

// Sequence returns the sequence in which n orders are executed that are numbered from zero
// by their arrival. It returns each number once.
type Sequence func(n int) []int

// NewestFirst returns the sequence that is the reverse of the arrival.
func NewestFirst(n int) []int {
	numbers := make([]int, n)
	for i := range numbers {
		numbers[i] = n - 1 - i
	}
	return numbers
}

// HoldPromotions makes the promotion interface stand still: it accepts and reads orders, but
// neither executes nor answers them. They wait until ReleasePromotions, whether or not their
// clients still do.
func (t *Testbed) HoldPromotions() { t.promotions.hold() }

// HeldPromotions returns the orders that wait, in the sequence of their arrival.
func (t *Testbed) HeldPromotions() []member.Order { return t.promotions.orders() }

// ReleasePromotions ends HoldPromotions. It executes the waiting orders one after another in
// the sequence, and returns them so.
func (t *Testbed) ReleasePromotions(s Sequence) []member.Order {
	waiting := t.promotions.release()
	var executed []member.Order
	for _, number := range s(len(waiting)) {
		w := waiting[number]
		w.result <- t.execute(w.payload)
		executed = append(executed, orderOf(w.payload))
	}
	return executed
}

// IgnorePromotions makes the promotion interface accept no connections, though its port stays
// open. Orders wait in the kernel until HeedPromotions, also those whose senders have closed
// their connections by then.
func (t *Testbed) IgnorePromotions() { t.promotionGate.shut() }

// HeedPromotions ends IgnorePromotions. The orders that wait are executed side by side.
func (t *Testbed) HeedPromotions() { t.promotionGate.open() }

// promote runs a promotion that a proxy orders, after it has waited for
// ReleasePromotions if the promotion interface stands still.
func (t *Testbed) promote(p *cloud.PromotePayload) error {
	w, held := t.promotions.add(p)
	if !held {
		return t.execute(p)
	}
	select {
	case err := <-w.result:
		return err
	case <-t.tasks.Context().Done():
		return errors.Errorf("promote %s: the platform ends", p.ID)
	}
}

// execute runs a promotion.
func (t *Testbed) execute(p *cloud.PromotePayload) error {
	for _, g := range t.Groups {
		if g.Name == p.Service {
			return g.Promote(orderOf(p))
		}
	}
	return errors.Errorf("promote %s: no group %s", p.ID, p.Service)
}

// orderOf returns the order in a payload.
func orderOf(p *cloud.PromotePayload) member.Order {
	return member.Order{Member: p.ID, Holder: p.Holder, Token: p.Token}
}
