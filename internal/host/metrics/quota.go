package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"eelgrassladder.example/eelgrassladder/internal/host/quota"
)

// OperationCounted records an operation of a team with a limit.
func (n *Node) OperationCounted(r quota.OperationResult) {
	n.quotaOperations.WithLabelValues(r.String()).Inc()
}

// LoanCounted records a request for tokens between this proxy and another one.
func (n *Node) LoanCounted(s quota.LoanSide, r quota.LoanResult) {
	n.quotaLoans.WithLabelValues(s.String(), r.String()).Inc()
}

// RegisterRefusals registers counters of the refused operations of the teams that a function
// returns. It is called at each scrape.
func (n *Node) RegisterRefusals(refusals func() map[string]uint64) {
	n.Registry.MustRegister(refusalCollector{refusals: refusals})
}

// quotaRefused is the metric of the refused operations of teams.
var quotaRefused = prometheus.NewDesc("eelgrassladder_quota_refused_total",
	"Operations over their team's limit, for the teams with the most.", []string{"Team"}, nil)

// refusalCollector computes the metric of refused operations at each scrape.
type refusalCollector struct {
	refusals func() map[string]uint64
}

// Describe implements prometheus.Collector.
func (refusalCollector) Describe(c chan<- *prometheus.Desc) { c <- quotaRefused }

// Collect implements prometheus.Collector.
func (r refusalCollector) Collect(c chan<- prometheus.Metric) {
	for team, refused := range r.refusals() {
		c <- prometheus.MustNewConstMetric(quotaRefused, prometheus.CounterValue, float64(refused), team)
	}
}
