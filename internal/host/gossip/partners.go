package gossip

import (
	"maps"
	"slices"
)

// partners returns the proxies that one exchanges beats with: those 1, 2, 4, 8
// and so on places after it in the order of names. What one knows reaches all
// within as many rounds as there are partners, and a proxy among hundreds has
// ten connections in place of hundreds.
func partners(self string, others map[string]string) []string {
	names := slices.Sorted(maps.Keys(others))
	start, _ := slices.BinarySearch(names, self)
	var chosen []string
	for step := 1; step <= len(names); step *= 2 {
		chosen = append(chosen, names[(start+step-1)%len(names)])
	}
	return chosen
}
