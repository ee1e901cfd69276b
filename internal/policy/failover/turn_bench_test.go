package failover_test

import (
	"fmt"
	"testing"

	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	"eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

// BenchmarkTurnsOfATick is what one tick of the keeper spends on turns in the
// largest estate.
func BenchmarkTurnsOfATick(b *testing.B) {
	proxies := map[string]string{}
	for i := range 430 {
		proxies[fmt.Sprintf("front-miskolc-b-%d", i)] = "10.0.0.1:1"
	}
	groups := make([]string, 610)
	for i := range groups {
		groups[i] = fmt.Sprintf("fibo%04db", i)
	}
	b.ReportAllocs()
	for b.Loop() {
		for _, g := range groups {
			failover.WriterIndex("front-miskolc-b-self", proxies, g)
		}
	}
}

// BenchmarkDifferencesOfATick is what a tick spends on the members of all
// groups where none differs and no turn is asked for.
func BenchmarkDifferencesOfATick(b *testing.B) {
	recorded := map[string]string{"a": "1", "b": "2", "c": "3"}
	listed := []topology.Endpoint{{ID: "a", Address: "1"}, {ID: "b", Address: "2"}, {ID: "c", Address: "3"}}
	b.ReportAllocs()
	for b.Loop() {
		for range 610 {
			failover.Compare(recorded, listed)
		}
	}
}
