package node

import (
	"context"
	"strings"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/revision"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
)

// storeReader is a cluster state that can also read the store: the records of primaries
// for proofs, and the members of a group for a change of primary. It adds the records
// that it reads to the cluster state.
type storeReader struct {
	*clusterState
	store eelgrassladder.KeyValue
}

// Records returns the records of all groups, by name of the group. The answer is
// not older than the call.
func (r storeReader) Records(ctx context.Context) (map[string]leadership.Record, error) {
	items, _, err := r.store.Range(ctx, leadership.Prefix)
	if err != nil {
		return nil, err
	}
	records := make(map[string]leadership.Record, len(items))
	for _, i := range items {
		group, _ := leadership.Group(i.Key)
		record, err := leadership.Parse(group, i.Value, i.Revision)
		if err != nil {
			// It counts as closed, which proves nothing. The follower logs it.
			records[group] = leadership.Record{Group: group, Revision: i.Revision, Closed: true}
			continue
		}
		records[group] = record
		r.LearnRecord(record)
	}
	return records, nil
}

// StoredRevision returns the revision of a group's record in the store, in the era of the store,
// whenever it was written; zero if the store has none. It also returns the era. The answer is not
// older than the call.
func (r storeReader) StoredRevision(ctx context.Context, group string) (stored revision.Revision, era uint64, err error) {
	key := leadership.Key(group)
	items, read, err := r.store.Range(ctx, key)
	if err != nil {
		return 0, 0, err
	}
	for _, i := range items {
		if i.Key != key {
			continue // a group whose name begins with that of this one
		}
		stored = i.Revision
		// The follower logs a record that cannot be decoded.
		if record, err := leadership.Parse(group, i.Value, i.Revision); err == nil {
			r.LearnRecord(record)
		}
	}
	return stored, read.Era(), nil
}

// Members returns the members of a group that the store lists, and the store's
// revision. The answer is not older than the call.
func (r storeReader) Members(ctx context.Context, group string) ([]topology.Endpoint, revision.Revision, error) {
	_, prefix := r.registry.Keys()
	items, revision, err := r.store.Range(ctx, prefix)
	if err != nil {
		return nil, 0, err
	}
	var members []topology.Endpoint
	for _, i := range items {
		// The follower logs entries that cannot be decoded.
		if e, err := r.registry.Endpoint(i); err == nil && e.Group == group {
			members = append(members, e)
		}
	}
	return members, revision, nil
}

// RegisteredProxies reads the names of the other proxies, by address, that are registered
// in the store. The answer is not older than the call.
func (r storeReader) RegisteredProxies(ctx context.Context) (map[string]string, error) {
	items, _, err := r.store.Range(ctx, proxyPrefix)
	if err != nil {
		return nil, err
	}
	names := make(map[string]string, len(items))
	for _, i := range items {
		name := strings.TrimPrefix(i.Key, proxyPrefix)
		// The follower logs registrations that cannot be decoded.
		if registered, err := parseRegistration(i.Value); err == nil && name != r.name {
			names[registered.address] = name
		}
	}
	return names, nil
}
