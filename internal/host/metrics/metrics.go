// Package metrics holds the Prometheus metrics of a proxy.
package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/table/burn"
)

// Metrics holds the metrics of one proxy. Use New to create it.
type Metrics struct {
	Registry *prometheus.Registry
	// PlatformCalls counts calls to the platform by Method and Result.
	PlatformCalls *prometheus.CounterVec
	// requests counts answers to callers by Class and Outcome.
	requests *prometheus.CounterVec
	// replicaAnswers counts, by Class, the answers from replicas.
	replicaAnswers *prometheus.CounterVec
	// refused counts by Reason the callers that were refused, or whose connections were closed.
	refused *prometheus.CounterVec
	// latency measures, by Class, the seconds from the complete receipt of a
	// request to its answer.
	latency *prometheus.HistogramVec
	// termChanges counts changes of term by Group and Reason.
	termChanges *prometheus.CounterVec
	// termSeconds measures the seconds from the decision to raise a term until
	// its primary serves.
	termSeconds prometheus.Histogram
}

// New returns the metrics of a proxy, registered in Registry together with
// those of the Go runtime and the process.
func New() *Metrics {
	m := &Metrics{
		Registry: prometheus.NewRegistry(),
		PlatformCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassladder_platform_calls_total", Help: "Calls to the platform.",
		}, []string{"Method", "Result"}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassladder_requests_total", Help: "Answers to this proxy's callers.",
		}, []string{"Class", "Outcome"}),
		replicaAnswers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassladder_replica_answers_total", Help: "Answers that a replica gave.",
		}, []string{"Class"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "eelgrassladder_answer_seconds", Help: "Time from a whole request to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"Class"}),
		refused: newRefused(),
		termChanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassladder_term_changes_total", Help: "Changes of term by this proxy.",
		}, []string{"Group", "Reason"}),
		termSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "eelgrassladder_term_change_seconds", Help: "Time from the decision to a serving primary.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 12),
		}),
	}
	m.Registry.MustRegister(m.PlatformCalls, m.requests, m.replicaAnswers, m.latency, m.refused, m.termChanges, m.termSeconds,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Answered records an answer to a caller, and the time from the complete receipt
// of the request to the answer.
func (m *Metrics) Answered(class string, a request.Answer, took time.Duration) {
	m.requests.WithLabelValues(class, a.Outcome.String()).Inc()
	m.latency.WithLabelValues(class).Observe(took.Seconds())
	if a.Replica {
		m.replicaAnswers.WithLabelValues(class).Inc()
	}
}

// TermChanged records a change of term that took the given time from the
// decision until its primary served.
func (m *Metrics) TermChanged(group, reason string, took time.Duration) {
	m.termChanges.WithLabelValues(group, reason).Inc()
	m.termSeconds.Observe(took.Seconds())
}

// RegisterGauge registers a gauge that calls value at each scrape.
func (m *Metrics) RegisterGauge(name, help string, value func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

// RegisterBurnRate registers the burn rates of each class and window; counts
// is called at each scrape.
func (m *Metrics) RegisterBurnRate(counts func() []burn.Count) {
	m.Registry.MustRegister(burnCollector{counts})
}

var burnRate = prometheus.NewDesc("eelgrassladder_burn_rate",
	"Share of bad requests over the share that the target allows.", []string{"Class", "Window"}, nil)

// burnCollector computes the burn rates at each scrape.
type burnCollector struct {
	counts func() []burn.Count
}

// Describe implements prometheus.Collector.
func (burnCollector) Describe(c chan<- *prometheus.Desc) { c <- burnRate }

// Collect implements prometheus.Collector.
func (b burnCollector) Collect(c chan<- prometheus.Metric) {
	for _, count := range b.counts() {
		c <- prometheus.MustNewConstMetric(burnRate, prometheus.GaugeValue, count.Rate(), count.Class, count.Window)
	}
}
