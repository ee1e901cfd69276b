package node

import (
	"context"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/trade/roster"
	"eelgrassladder.example/eelgrassladder/internal/trade/tenure"
)

// ledger reads the records of primaries from the store, for proofs, and the
// members of a group, for a change of primary. The records that it reads
// become known to the process.
type ledger struct {
	*beliefs
	store eelgrassladder.KeyValue
}

// Records returns the records of all groups, none older than the call.
func (l ledger) Records(ctx context.Context) (map[string]tenure.Tenure, error) {
	items, _, err := l.store.Range(ctx, tenure.Prefix)
	if err != nil {
		return nil, err
	}
	all := make(map[string]tenure.Tenure, len(items))
	for _, i := range items {
		group, _ := tenure.Group(i.Key)
		t, err := tenure.Parse(group, i.Value, i.Revision)
		if err != nil {
			return nil, err
		}
		all[group] = t
		l.LearnTenure(t)
	}
	return all, nil
}

// Members returns the members of a group that the store lists, none older than
// the call, and the store's revision.
func (l ledger) Members(ctx context.Context, group string) ([]roster.Endpoint, uint64, error) {
	_, prefix := l.registry.Keys()
	items, revision, err := l.store.Range(ctx, prefix)
	if err != nil {
		return nil, 0, err
	}
	var members []roster.Endpoint
	for _, i := range items {
		// The follower has logged an entry that names no endpoint.
		if e, err := l.registry.Endpoint(i); err == nil && e.Group == group {
			members = append(members, e)
		}
	}
	return members, revision, nil
}
