package failover

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/model/revision"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
)

// suspension is the state of a group whose members have been suspended. It is immutable.
type suspension struct {
	// others are the members other than the old primary that were asked, and replicas
	// their answers.
	others   []topology.Endpoint
	replicas []answer
	// term is the term for which they are suspended.
	term uint64
	// listRevision is the revision of the store's list of members.
	listRevision revision.Revision
	// leading is the answer of a member that leads a later term than the old primary; nil
	// for none. The members are not suspended then.
	leading *answer
}

// suspendMembers suspends all members other than the old primary that must answer. It
// reads their list anew.
func (c *change) suspendMembers(ctx context.Context) (suspension, error) {
	others, listRevision, err := c.readMembers(ctx)
	if err != nil {
		return suspension{}, err
	}
	memberCount := len(others)
	others = slices.DeleteFunc(others, func(e topology.Endpoint) bool { return !c.required(e) })
	answers := c.controller.statuses(ctx, others)
	term, leading, err := c.newestTerm(answers)
	if err != nil {
		return suspension{}, err
	}
	s := suspension{others: others, term: term + 1, listRevision: listRevision, leading: leading}
	if leading != nil {
		return s, nil
	}
	if s.replicas, err = c.suspendAll(ctx, others, s.term); err != nil {
		return suspension{}, err
	}
	c.noteSuspended(answers, s.replicas)
	if len(others) < memberCount && !c.oldStopped.Load() {
		// Require the unlisted members' answers in the next attempt.
		c.leaderAnswered = false
		return suspension{}, errors.New("the old primary is not stopped, and unlisted members were left out")
	}
	return s, nil
}

// noteSuspended notes which members are suspended for the change now. The wait of
// awaitReportsEnd begins again if one that was suspended before has answered before that it
// is not: it has started again, and may have proved the old primary.
func (c *change) noteSuspended(before, now []answer) {
	for _, a := range before {
		if c.suspended[a.endpoint.ID] && a.err == nil && !a.status.Primary && a.status.SuspendedTerm <= c.record.Term {
			c.membersListedAt = 0
		}
	}
	for _, a := range now {
		if c.suspended == nil {
			c.suspended = map[string]bool{}
		}
		c.suspended[a.endpoint.ID] = true
	}
}
