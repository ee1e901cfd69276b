package failover

import (
	"slices"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/revision"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

// logBegun logs why the primary is replaced, and what this process knows of the earlier
// changes of the group: the latest order that was not refused, the holder of the record
// before, and the fencing token that the promotion lock had before.
func (c *change) logBegun(known leader.State, before leadership.Record, lock leadership.PromotionLock) {
	e, ordered := c.evidence, c.controller.latestOrder(c.group)
	klog.InfoS("Change of primary begun", "Group", c.group, "Reason", c.reason.String(), "Primary", c.old.ID,
		"Term", known.Term, "Token", c.record.Revision, "SilentMs", e.SilentFor.Milliseconds(), "Failures", e.Failures,
		"Refused", e.Refused, "StalledMs", e.StalledFor.Milliseconds(), "OutpacedMs", e.OutpacedFor.Milliseconds(),
		"Ordered", ordered.Endpoint, "OrderAgeMs", ordered.Age.Milliseconds(), "Holder", before.Holder, "LockBefore", lock.FencingToken())
}

// logChosen logs which endpoint was chosen, and everything that the choice was made from.
func (c *change) logChosen(elected policy.Candidate, floor leader.Acknowledged, asked []answer, listRevision revision.Revision) {
	ct := c.controller
	now := ct.clock.SinceBoot()
	klog.InfoS("Replica chosen", "Group", c.group, "Endpoint", elected.ID, "Received", elected.Received.String(),
		"Kept", floor.Position.String(), "KeptFrom", floor.Source, "KeptAgeMs", ct.ageOf(floor).Milliseconds(),
		"KeptTold", floor.Observed, "Told", ct.table.Leader(c.group).Acknowledged.Position.String(), "Members", logEnds(asked),
		"Listed", listRevision, "Token", c.record.Revision, "Reason", c.reason.String(), "Term", c.record.Term,
		"OldStopped", c.oldStopped.Load(), "Asked", describeAnswers(asked, now),
		"ListAgeMs", (now - c.listAskedAt).Milliseconds(), "RecordAgeMs", (now - c.began).Milliseconds())
}

// logOrdered logs that the promotion of an endpoint is about to be ordered, and returns the
// boot time of that.
func (c *change) logOrdered(elected topology.Endpoint, fencingToken uint64) time.Duration {
	now := c.controller.clock.SinceBoot()
	klog.InfoS("Promotion ordered", "Group", c.group, "Endpoint", elected.ID, "Token", c.record.Revision, "Lock", fencingToken,
		"BegunMs", (now - c.began).Milliseconds())
	return now
}

// logOrderAnswered logs the answer to an order that was sent at a boot time, or the error
// if there is none.
func (c *change) logOrderAnswered(o eelgrassladder.PromotionOrder, orderedAt time.Duration, err error) {
	took := (c.controller.clock.SinceBoot() - orderedAt).Milliseconds()
	if err != nil {
		klog.InfoS("Promotion without an answer", "Group", c.group, "Endpoint", o.Endpoint, "Error", err.Error(),
			"Token", c.record.Revision, "Lock", o.Token, "TookMs", took)
		return
	}
	klog.InfoS("Promotion answered", "Group", c.group, "Endpoint", o.Endpoint, "Token", c.record.Revision, "Lock", o.Token, "TookMs", took)
}

// logLeads logs that a member was first seen to lead after it was ordered to at a boot time.
func (c *change) logLeads(promoted answer, orderedAt time.Duration) {
	klog.InfoS("Promoted endpoint leads", "Group", c.group, "Endpoint", promoted.endpoint.ID, "Term", promoted.status.Term,
		"Log", promoted.status.Received.String(), "Token", c.record.Revision,
		"AfterOrderMs", (c.controller.clock.SinceBoot() - orderedAt).Milliseconds())
}

// logLeadsAlready logs that a change needs no promotion, because a member leads a later term
// than the record's.
func (c *change) logLeadsAlready(leading answer) {
	klog.InfoS("Endpoint leads a later term already", "Group", c.group, "Endpoint", leading.endpoint.ID, "Term", leading.status.Term,
		"Before", c.old.ID, "RecordTerm", c.record.Term, "Log", leading.status.Received.String(), "Token", c.record.Revision)
}

// ageOf returns how long ago the source learned of an acknowledged position; zero
// for a position from the record.
func (ct *Controller) ageOf(acknowledged leader.Acknowledged) time.Duration {
	if acknowledged.At == 0 {
		return 0
	}
	return ct.clock.SinceBoot() - acknowledged.At
}

// logEnds returns the ID and the end of the log of each member that has answered,
// for log messages and errors.
func logEnds(members []answer) []string {
	ends := make([]string, 0, len(members))
	for _, a := range members {
		if a.err == nil {
			ends = append(ends, a.endpoint.ID+"="+a.status.Received.String())
		}
	}
	slices.Sort(ends)
	return ends
}

// describeAnswers returns the last answer of each member that was asked, or its error, for
// log messages: the end of the log, the newest known term, the term for which it is
// suspended, how long before now it answered, and the start of its process as listed, in
// milliseconds of the endpoint's own clock.
func describeAnswers(asked []answer, now time.Duration) []string {
	described := make([]string, 0, len(asked))
	for _, a := range asked {
		described = append(described, a.describe(now))
	}
	slices.Sort(described)
	return described
}

// describe returns one entry of describeAnswers.
func (a answer) describe(now time.Duration) string {
	started := ",Started=" + strconv.FormatInt(a.endpoint.StartedAt, 10)
	if a.at > 0 {
		started = ",AgeMs=" + strconv.FormatInt((now-a.at).Milliseconds(), 10) + started
	}
	if a.err != nil {
		return a.endpoint.ID + "=?" + started + ",Error=" + a.err.Error()
	}
	return a.endpoint.ID + "=" + a.status.Received.String() + ",Term=" + strconv.FormatUint(a.status.Term, 10) +
		",Suspended=" + strconv.FormatUint(a.status.SuspendedTerm, 10) + ",Primary=" + strconv.FormatBool(a.status.Primary) + started
}
