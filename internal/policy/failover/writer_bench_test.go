package failover_test

import (
	"fmt"
	"testing"

	"eelgrassladder.example/eelgrassladder/internal/model/leadership"
	"eelgrassladder.example/eelgrassladder/internal/model/topology"
	"eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

// BenchmarkWriterIndexesOfATick measures how much of one tick goes into
// computing the writer indexes in the largest deployment.
func BenchmarkWriterIndexesOfATick(b *testing.B) {
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

// BenchmarkDifferencesOfATick measures how much of one tick goes into
// comparing the members of all groups with their records where none differs.
func BenchmarkDifferencesOfATick(b *testing.B) {
	listed := []topology.Endpoint{{ID: "a", Address: "1", StartedAt: 1}, {ID: "b", Address: "2", StartedAt: 2}, {ID: "c", Address: "3", StartedAt: 3}}
	recorded := leadership.Record{}.WithMembers(listed)
	b.ReportAllocs()
	for b.Loop() {
		for range 610 {
			failover.Compare(recorded, listed)
		}
	}
}
