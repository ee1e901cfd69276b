package failover

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

const (
	// confirmRetryDelay is the wait after a record could not be confirmed.
	confirmRetryDelay = 300 * time.Millisecond
	// confirmTimeout bounds one attempt to confirm a record.
	confirmTimeout = 2 * time.Second
)

// recall is which proxies have told their records since the store came back from an older copy.
type recall struct {
	// era is the era of the store.
	era uint64
	// since is the boot time at which this proxy learned of the era.
	since time.Duration
	// begun is true once proxies were asked. told holds the addresses of those that have
	// answered in this era.
	begun bool
	told  map[string]bool
	// incomplete is true if a process of a former era has ended, or may have, without telling its
	// records.
	incomplete bool
}

// enterEra notes when this proxy learned of the era of the store.
func (ct *Controller) enterEra() {
	era, now := ct.state.Era(), ct.clock.SinceBoot()
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	if ct.recall.era != era {
		ct.recall = recall{era: era, since: now, told: map[string]bool{}}
	}
}

// mayConfirm reports whether it is this proxy's turn to confirm the group's record, which has not
// been written in the present era of the store for a time. The earlier proxies in the order of
// writers come first. It waits until the list of members can be relied on if what the proxies know
// is not enough. The caller holds the mutex.
func (ct *Controller) mayConfirm(group string, unconfirmed time.Duration) bool {
	if ct.recall.incomplete && !policy.MayRely(ct.clock.SinceBoot()-ct.recall.since) {
		return false
	}
	return policy.MayConfirm(unconfirmed, policy.WriterIndex(ct.name, ct.state.Proxies(), group))
}

// confirmRecord writes the record of a group anew in the present era of the store, after it has
// asked the other proxies for what they know and the members for their terms: as it was if the
// primary is still the only one, and closed if a change of primary may have begun. A closed record
// is a change to be finished. Until then no record proves the primary, and no change of it begins.
func (ct *Controller) confirmRecord(ctx context.Context, group string) {
	limited, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := ct.tryConfirm(limited, group); err != nil {
		klog.InfoS("Could not confirm the record of a former era; the next attempt follows after a pause", "Group", group,
			"Era", ct.state.Era(), "Error", err.Error())
		timer.Pause(ctx, ct.timer, confirmRetryDelay)
	}
}

// tryConfirm makes one attempt to confirm the record of a group.
func (ct *Controller) tryConfirm(ctx context.Context, group string) error {
	era := ct.state.Era()
	told, err := ct.recallRecords(ctx, era)
	if err != nil {
		return err
	}
	stored, read, err := ct.state.StoredRevision(ctx, group)
	if err != nil {
		return errors.WithMessage(err, "reading the record")
	}
	if read != era {
		return errors.Errorf("the store is in era %d", read)
	}
	if ct.state.Record(group).WrittenIn(era) {
		return nil // by another proxy
	}
	listed, _, err := ct.state.Members(ctx, group)
	if err != nil {
		return errors.WithMessage(err, "reading the members")
	}
	record := ct.state.CurrentRecord(group)
	recollection := policy.Recollection{
		EraAge: told.age, AllTold: told.all, Silent: len(told.silent),
		Recorded: record.Revision > 0, Endpoint: record.Endpoint, Term: record.Term, Closed: record.Closed,
		Members: ct.viewMembers(ctx, group, listed),
	}
	verdict, primary, term := recollection.Decide()
	if verdict == policy.Undecided {
		return errors.Errorf("a change of primary that is not known here cannot be ruled out: %+v; silent proxies: %v", recollection, told.silent)
	}
	before := record
	record.Group = group
	record = record.WithPrimary(primary, term).WithRevision(stored).WithEra(era)
	if before.Revision == 0 {
		record.Holder = ct.name
	}
	if verdict == policy.Interrupted {
		record = record.WithClosed(ct.name)
	}
	written, err := ct.write(ctx, &record, nil)
	if err != nil {
		return errors.WithMessage(err, "writing the record")
	}
	klog.InfoS("Record confirmed in the new era of the store", "Group", group, "Era", era, "Verdict", verdict.String(), "Primary", primary, "Term", term,
		"Revision", written, "RevisionBefore", before.Revision, "Stored", stored, "AllTold", told.all, "AfterMs", told.age.Milliseconds())
	return nil
}

// recallResult is how complete the records are that other proxies have told.
type recallResult struct {
	// age is how long this proxy has known the era.
	age time.Duration
	// all is true if every proxy that may know of a change has told its records.
	all bool
	// silent holds the names of the proxies that have not answered and may still run.
	silent []string
}

// recallRecords has all other proxies that may run tell their records, unless they have done so in
// this era of the store. They learn of the era by that, and so end their changes of former eras.
func (ct *Controller) recallRecords(ctx context.Context, era uint64) (recallResult, error) {
	proxies, allKnown, err := ct.otherProxies(ctx)
	if err != nil {
		return recallResult{}, errors.WithMessage(err, "reading the registered proxies")
	}
	for name, address := range ct.state.Proxies() {
		proxies[address] = name
	}
	ct.mutex.Lock()
	if ct.recall.era != era {
		defer ct.mutex.Unlock()
		return recallResult{}, errors.Errorf("the store was last seen in era %d", ct.recall.era)
	}
	if !ct.recall.begun {
		ct.recall.begun, ct.recall.incomplete = true, !allKnown
	}
	for address := range ct.recall.told {
		delete(proxies, address)
	}
	ct.mutex.Unlock()
	var unsettled atomic.Bool
	message := ct.state.Message()
	answered, silent, ended := askProxies(ctx, proxies, func(ctx context.Context, address string) error {
		answer, err := ct.informer.ExchangeOnce(ctx, address, message)
		if err != nil {
			return err
		}
		ct.state.Receive(answer)
		if answer.Era < era {
			return errors.Errorf("the proxy knows the store in era %d", answer.Era)
		}
		if !answer.Settled {
			unsettled.Store(true)
		}
		return nil
	})
	ct.mutex.Lock()
	defer ct.mutex.Unlock()
	if ct.recall.era != era {
		return recallResult{}, errors.Errorf("the store is in era %d", ct.recall.era)
	}
	for _, address := range answered {
		ct.recall.told[address] = true
	}
	ct.recall.incomplete = ct.recall.incomplete || ended || unsettled.Load()
	return recallResult{
		age: ct.clock.SinceBoot() - ct.recall.since, all: !ct.recall.incomplete && len(silent) == 0, silent: silent,
	}, nil
}

// viewMembers asks the members of a group that are listed, or were until recently, for their
// status.
func (ct *Controller) viewMembers(ctx context.Context, group string, listed []topology.Endpoint) []policy.MemberView {
	ct.noteListed(group, listed)
	isListed := topology.New(listed...)
	answers := ct.statuses(ctx, ct.replicas(group, ""))
	views := make([]policy.MemberView, 0, len(answers))
	for _, a := range answers {
		v := policy.MemberView{ID: a.endpoint.ID, Answered: a.err == nil}
		_, v.Listed = isListed.Endpoint(a.endpoint.ID)
		if v.Answered {
			v.Primary, v.Term, v.SuspendedTerm = a.status.Primary, a.status.Term, a.status.SuspendedTerm
		}
		views = append(views, v)
	}
	return views
}
