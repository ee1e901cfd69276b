package metrics_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/host/failover"
	"eelgrassladder.example/eelgrassladder/internal/host/gateway"
	"eelgrassladder.example/eelgrassladder/internal/host/metrics"
	"eelgrassladder.example/eelgrassladder/internal/host/quota"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
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

func TestCommitsWithoutAFreshRecordAreCountedByDoubt(t *testing.T) {
	n := metrics.NewNode()
	known := leader.State{}.WithPrimary("a", 1, time.Minute).WithRevision(4).WithRecordOpen(time.Minute)
	answered := gateway.Answered{Committed: true, Endpoint: "a", Leader: known, Now: time.Minute}
	n.Answered(answered)
	answered.Now = time.Hour
	n.Answered(answered)
	answered.Leader = known.WithClosed(time.Minute)
	n.Answered(answered)
	n.CommitsUnconfirmed(3)
	n.OlderRecordApplied()
	answer := httptest.NewRecorder()
	n.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{
		`eelgrassladder_node_unconfirmed_commits_total{Doubt="RecordOld"} 1`,
		`eelgrassladder_node_unconfirmed_commits_total{Doubt="RecordClosed"} 1`,
		`eelgrassladder_node_unconfirmed_commits_total{Doubt="SinceOpen"} 3`,
		`eelgrassladder_node_older_records_total 1`,
	} {
		assert.Assert(t, strings.Contains(answer.Body.String(), line+"\n"), line)
	}
}

func TestOperationsAndLoansAreCounted(t *testing.T) {
	n := metrics.NewNode()
	n.OperationCounted(quota.Own)
	n.OperationCounted(quota.Refused)
	n.LoanCounted(quota.Borrower, quota.LoanEmpty)
	n.LoanCounted(quota.Holder, quota.LoanPartial)
	n.RegisterRefusals(func() map[string]uint64 { return map[string]uint64{"bakery": 4} })
	answer := httptest.NewRecorder()
	n.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{
		`eelgrassladder_quota_operations_total{Result="Own"} 1`,
		`eelgrassladder_quota_operations_total{Result="Refused"} 1`,
		`eelgrassladder_quota_loans_total{Result="Empty",Side="Borrower"} 1`,
		`eelgrassladder_quota_loans_total{Result="Partial",Side="Holder"} 1`,
		`eelgrassladder_quota_refused_total{Team="bakery"} 4`,
	} {
		assert.Assert(t, strings.Contains(answer.Body.String(), line+"\n"), line)
	}
}
