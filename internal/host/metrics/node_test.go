package metrics_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/host/failover"
	"eelgrassladder.example/eelgrassladder/internal/host/metrics"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

func TestChangesOfPrimaryAreCountedByGroupReasonAndOutcome(t *testing.T) {
	n := metrics.NewNode()
	n.Changed("g", policy.Unresponsive, failover.NotBegun)
	n.Changed("g", policy.Unresponsive, failover.NotBegun)
	n.Changed("g", policy.Unresponsive, failover.Begun)
	n.Changed("g", policy.Unresponsive, failover.GivenUp)
	answer := httptest.NewRecorder()
	n.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{
		`eelgrassladder_node_changes_total{Group="g",Outcome="NotBegun",Reason="Dark"} 2`,
		`eelgrassladder_node_changes_total{Group="g",Outcome="Begun",Reason="Dark"} 1`,
		`eelgrassladder_node_changes_total{Group="g",Outcome="GivenUp",Reason="Dark"} 1`,
	} {
		assert.Assert(t, strings.Contains(answer.Body.String(), line+"\n"), line)
	}
}
