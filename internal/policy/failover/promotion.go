package failover

import "time"

// PromotionDoubt is how long an order to promote a member may still be executed after a
// proxy learned of it, if it was neither refused nor seen to take effect. The platform
// executes calls without an answer up to some seconds late; a proxy sends the order
// within 2.5 s after the record names the member.
const PromotionDoubt = 10 * time.Second

const (
	// maxUnansweredTime is how long a proxy goes on ordering while none of its orders is
	// answered. The platform may stand still for all proxies, or answer only others.
	maxUnansweredTime = 15 * time.Second
	// lockRenewalInterval is how often a holder that waits for answers renews the promotion
	// lock. It is well below lockTimeout.
	lockRenewalInterval = time.Second
)

// LeavesOrders reports whether a proxy should leave promotions to others for now, because
// none of its orders was answered for unansweredFor. Others wait until its last order, sent
// lastOrder ago, is in doubt no more, and then need the time of a change.
func LeavesOrders(unansweredFor, lastOrder time.Duration) bool {
	return unansweredFor > maxUnansweredTime && lastOrder < PromotionDoubt+MaxChangeTime
}

// ShouldRenewLock reports whether a holder that waits for answers should renew the
// promotion lock, given the time since it last wrote it.
func ShouldRenewLock(age time.Duration) bool { return age >= lockRenewalInterval }

// Order is an order to promote a member of a group. It is immutable.
type Order struct {
	// Endpoint is the ID of the member; empty if there is no order.
	Endpoint string
	// Age is how long ago this proxy learned of the order.
	Age time.Duration
	// Token is its fencing token; zero if the record does not say.
	Token uint64
	// Answered is true if the platform has answered the order, or refused it, so that it
	// does not see its token later.
	Answered bool
}

// InDoubt reports whether the order may still be executed.
func (o Order) InDoubt() bool { return o.Endpoint != "" && o.Age < PromotionDoubt }

// Unanswered reports whether the platform may still see the order.
func (o Order) Unanswered() bool { return o.InDoubt() && !o.Answered }

// MayBeSeenAfter reports whether the platform may still see this order after it has seen one
// with the token. The platform checks no token, so an order with another one has to wait
// until then. An unknown token counts as another one.
func (o Order) MayBeSeenAfter(token uint64) bool {
	return o.Unanswered() && (o.Token == 0 || o.Token != token)
}

// Restrict returns the candidate to promote, given the one that Elect chose. While the
// order is in doubt, that is the member ordered, or none if its log is not as long as
// that of the elected one: any other member would lose what it acknowledges once the
// order is executed. It returns false if no member may be promoted now.
func (o Order) Restrict(elected Candidate, candidates []Candidate) (Candidate, bool) {
	if !o.InDoubt() || elected.ID == o.Endpoint {
		return elected, true
	}
	for _, c := range candidates {
		if c.ID == o.Endpoint && c.Received.UpToDateWith(elected.Received) {
			return c, true
		}
	}
	return Candidate{}, false
}

// Blocks reports whether no change may begin that replaces the primary for a reason. An
// earlier order for the present primary that is still in doubt would make it lead again
// after it was replaced. A change that makes the same primary lead again is allowed.
func (o Order) Blocks(primary string, r Reason) bool {
	return o.InDoubt() && o.Endpoint == primary && r != Abandoned && r != Stalled
}
