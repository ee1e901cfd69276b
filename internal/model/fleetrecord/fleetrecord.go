// Package fleetrecord holds the record of the proxies that share the limits of teams. Unlike
// their registrations it outlasts them, so that proxies that all start again after a loss of
// power know at once how many they are.
package fleetrecord

import (
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/model/revision"
)

// Key is the store's key of the record.
const Key = "eelgrassladder/fleet"

// Record is the set of the proxies that share the limits of teams. It is immutable.
type Record struct {
	// Revision is the store's revision of the record; zero if the store has none.
	Revision revision.Revision
	// addresses holds where each proxy is reached by others, by name. It is never modified.
	addresses map[string]string
}

// Parse decodes the value of the store's key at a revision. It has a line NAME ADDRESS for
// each proxy.
func Parse(value []byte, written revision.Revision) (Record, error) {
	r := Record{Revision: written, addresses: map[string]string{}}
	for line := range strings.Lines(string(value)) {
		name, address, ok := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		if !ok || name == "" || address == "" {
			return Record{Revision: written}, errors.Errorf("line %.80q of the record of proxies is not a name and an address", line)
		}
		r.addresses[name] = address
	}
	return r, nil
}

// Bytes returns the value that Parse decodes.
func (r Record) Bytes() []byte {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(r.addresses)) {
		b.WriteString(name + " " + r.addresses[name] + "\n")
	}
	return []byte(b.String())
}

// Addresses returns the addresses of the proxies by name. The map must not be modified.
func (r Record) Addresses() map[string]string { return r.addresses }

// Holds reports whether the record has a proxy.
func (r Record) Holds(name string) bool { return r.addresses[name] != "" }

// With returns the record with proxies added, or their addresses replaced.
func (r Record) With(addresses map[string]string) Record {
	all := map[string]string{}
	maps.Copy(all, r.addresses)
	maps.Copy(all, addresses)
	return Record{Revision: r.Revision, addresses: all}
}

// WithOnly returns the record with other proxies in place of its own.
func (r Record) WithOnly(addresses map[string]string) Record {
	return Record{Revision: r.Revision, addresses: maps.Clone(addresses)}
}

// SameProxies reports whether both records have the same proxies at the same addresses.
func (r Record) SameProxies(o Record) bool { return maps.Equal(r.addresses, o.addresses) }
