package gateway

import "time"

// proveTimeout is how long a commit waits for a proof that its primary is the only one.
// It leaves time for one read of the store and one request to a replica.
const proveTimeout = 300 * time.Millisecond

// unconfirmedDetail is the detail of the reply for an acknowledged commit that is in
// doubt.
const unconfirmedDetail = "the primary that acknowledged the commit is being replaced, or is not known to be the only one"

// Prover looks for proofs that the primary of a group is the only one.
type Prover interface {
	// Prove starts a round of requests for proofs of a group, unless one is under way, and
	// returns a channel that is closed when the round has ended.
	Prove(group string) <-chan struct{}
}

// mayCommit reports whether a transaction that wrote may be committed at the endpoint. If
// there is no valid proof that the endpoint is the only primary, it asks for one.
func (e *execution) mayCommit(endpoint string) bool {
	g, group := e.gateway, e.route.Group
	if g.table.Leader(group).BeingReplaced(endpoint, g.clock.SinceBoot()) {
		return false
	}
	return !g.replicated(group) || e.proven(endpoint)
}

// commitConfirmed reports whether a commit that the endpoint has just acknowledged may be
// reported to the client. Otherwise a change of primary may lose it: an old primary that
// nobody could stop acknowledges commits that the compared members lack.
func (e *execution) commitConfirmed(endpoint string) bool {
	return !e.gateway.replicated(e.route.Group) || e.proven(endpoint)
}

// proven reports whether commits at the endpoint can be confirmed. If the proof has expired,
// it waits for another, at most proveTimeout and until the statement's deadline.
func (e *execution) proven(endpoint string) bool {
	g, group := e.gateway, e.route.Group
	if g.table.Leader(group).Confirms(endpoint, g.clock.SinceBoot()) {
		return true
	}
	if g.table.Leader(group).BeingReplaced(endpoint, g.clock.SinceBoot()) {
		return false
	}
	timeout := g.timer.Once(min(proveTimeout, e.deadline.Sub(g.timer.Now())))
	defer timeout.Stop()
	select {
	case <-g.prover.Prove(group):
	case <-timeout.C():
	case <-g.tasks.Context().Done():
	}
	return g.table.Leader(group).Confirms(endpoint, g.clock.SinceBoot())
}
