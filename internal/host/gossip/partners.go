package gossip

import (
	"maps"
	"slices"
)

// partners returns the names of the proxies that one proxy exchanges messages
// with: those 1, 2, 4, 8 and so on places after it in the order of names. News
// reaches all proxies within as many rounds as a proxy has partners, and a proxy
// among hundreds needs only some ten connections.
func partners(self string, others map[string]string) []string {
	names := slices.Sorted(maps.Keys(others))
	start, _ := slices.BinarySearch(names, self)
	var chosen []string
	for step := 1; step <= len(names); step *= 2 {
		chosen = append(chosen, names[(start+step-1)%len(names)])
	}
	return chosen
}
