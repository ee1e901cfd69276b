package gossip

import (
	"maps"
	"slices"
)

// partners returns the names of the proxies with which the proxy self exchanges
// messages: those 1, 2, 4, 8 and so on places after it in the order of names. If each
// proxy asks all its partners in each round, a change reaches all proxies within as many
// rounds as a proxy has partners, and a proxy among hundreds needs only some ten
// connections.
func partners(self string, others map[string]string) []string {
	names := slices.Sorted(maps.Keys(others))
	start, _ := slices.BinarySearch(names, self)
	var chosen []string
	for distance := 1; distance <= len(names); distance *= 2 {
		chosen = append(chosen, names[(start+distance-1)%len(names)])
	}
	return chosen
}
