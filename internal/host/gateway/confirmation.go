package gateway

import "time"

// proveTimeout is how long a commit waits for a proof that its primary is the only one.
// It leaves time for one read of the store and one request to a replica.
const proveTimeout = 300 * time.Millisecond

// provePause is the shortest time between two rounds of requests for a proof that a commit
// waits for. A round that ends at once, as while the store refuses calls, is not repeated
// without a pause.
const provePause = 30 * time.Millisecond

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
// it asks for another until it has one, at most for proveTimeout and until the statement's
// deadline.
func (e *execution) proven(endpoint string) bool {
	g, group := e.gateway, e.route.Group
	if g.table.Leader(group).Confirms(endpoint, g.clock.SinceBoot()) {
		return true // without a timer, as for most commits
	}
	timeout := g.timer.Once(min(proveTimeout, e.deadline.Sub(g.timer.Now())))
	defer timeout.Stop()
	for !g.table.Leader(group).BeingReplaced(endpoint, g.clock.SinceBoot()) {
		inTime := g.awaitRound(group, timeout.C())
		if g.table.Leader(group).Confirms(endpoint, g.clock.SinceBoot()) {
			return true
		}
		if !inTime {
			return false
		}
	}
	return false
}

// awaitRound waits for the end of a round of requests for proofs, and at least for
// provePause. It returns false if the timeout or the end of the process comes first.
func (g *Gateway) awaitRound(group string, timeout <-chan time.Time) bool {
	round, pause := g.prover.Prove(group), g.timer.Once(provePause)
	defer pause.Stop()
	paused := pause.C()
	for round != nil || paused != nil {
		select {
		case <-round:
			round = nil
		case <-paused:
			paused = nil
		case <-timeout:
			return false
		case <-g.tasks.Context().Done():
			return false
		}
	}
	return true
}
