package gossip

import (
	"maps"
	"slices"
)

// sorted returns the names in order, and the set of addresses.
func sorted(proxies map[string]string) ([]string, map[string]bool) {
	addresses := make(map[string]bool, len(proxies))
	for _, a := range proxies {
		addresses[a] = true
	}
	return slices.Sorted(maps.Keys(proxies)), addresses
}
