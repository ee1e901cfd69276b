package node

import (
	"context"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
)

// ledger reads the records of primaries from the store, for proofs, and the
// members of a group, for a change of primary. The records that it reads
// become known to the process.
type ledger struct {
	*beliefs
	store eelgrassladder.KeyValue
}

// Records returns the records of all groups, none older than the call.
func (l ledger) Records(ctx context.Context) (map[string]leadership.Record, error) {
	items, _, err := l.store.Range(ctx, leadership.Prefix)
	if err != nil {
		return nil, err
	}
	all := make(map[string]leadership.Record, len(items))
	for _, i := range items {
		group, _ := leadership.Group(i.Key)
		t, err := leadership.Parse(group, i.Value, i.Revision)
		if err != nil {
			return nil, err
		}
		all[group] = t
		l.LearnRecord(t)
	}
	return all, nil
}

// Members returns the members of a group that the store lists, none older than
// the call, and the store's revision.
func (l ledger) Members(ctx context.Context, group string) ([]topology.Endpoint, uint64, error) {
	_, prefix := l.registry.Keys()
	items, revision, err := l.store.Range(ctx, prefix)
	if err != nil {
		return nil, 0, err
	}
	var members []topology.Endpoint
	for _, i := range items {
		// The follower has logged an entry that names no endpoint.
		if e, err := l.registry.Endpoint(i); err == nil && e.Group == group {
			members = append(members, e)
		}
	}
	return members, revision, nil
}
