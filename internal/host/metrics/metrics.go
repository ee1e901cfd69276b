// Package metrics holds the measures that a proxy shows to Prometheus.
package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/table/burn"
)

// Metrics holds the measures of one proxy. Use New to make them.
type Metrics struct {
	// Registry holds all measures.
	Registry *prometheus.Registry
	// PlatformCalls counts calls to the platform by Method and Result.
	PlatformCalls *prometheus.CounterVec
	// requests counts answers by Class and Outcome.
	requests *prometheus.CounterVec
	// replicas counts answers that a replica gave, by Class.
	replicas *prometheus.CounterVec
	// seconds measures the time to an answer by Class.
	seconds *prometheus.HistogramVec
	// terms counts changes of term by Group and Reason.
	terms *prometheus.CounterVec
	// termSeconds measures how long changes of term took.
	termSeconds prometheus.Histogram
}

// New returns the measures of a proxy.
func New() *Metrics {
	m := &Metrics{
		Registry: prometheus.NewRegistry(),
		PlatformCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassladder_platform_calls_total", Help: "Calls to the platform.",
		}, []string{"Method", "Result"}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassladder_requests_total", Help: "Answers to this proxy's callers.",
		}, []string{"Class", "Outcome"}),
		replicas: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassladder_replica_answers_total", Help: "Answers that a replica gave.",
		}, []string{"Class"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "eelgrassladder_answer_seconds", Help: "Time from a whole request to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"Class"}),
		terms: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassladder_term_changes_total", Help: "Changes of term by this proxy.",
		}, []string{"Group", "Reason"}),
		termSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "eelgrassladder_term_change_seconds", Help: "Time from the decision to a serving primary.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 12),
		}),
	}
	m.Registry.MustRegister(m.PlatformCalls, m.requests, m.replicas, m.seconds, m.terms, m.termSeconds,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Answered counts an answer to a caller.
func (m *Metrics) Answered(class string, a request.Answer, took time.Duration) {
	m.requests.WithLabelValues(class, a.Outcome.String()).Inc()
	m.seconds.WithLabelValues(class).Observe(took.Seconds())
	if a.Replica {
		m.replicas.WithLabelValues(class).Inc()
	}
}

// TermChanged counts a change of term.
func (m *Metrics) TermChanged(group, reason string, took time.Duration) {
	m.terms.WithLabelValues(group, reason).Inc()
	m.termSeconds.Observe(took.Seconds())
}

// RegisterGauge shows the value of a function.
func (m *Metrics) RegisterGauge(name, help string, value func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

// RegisterBurnRate shows the burn rate of each class and window.
func (m *Metrics) RegisterBurnRate(counts func() []burn.Count) {
	m.Registry.MustRegister(burnCollector{counts})
}

// burnRate describes the burn rate.
var burnRate = prometheus.NewDesc("eelgrassladder_burn_rate",
	"Share of bad requests over the share that the target allows.", []string{"Class", "Window"}, nil)

// burnCollector reads the burn table when it is asked.
type burnCollector struct {
	counts func() []burn.Count
}

// Describe sends the description of the measure.
func (burnCollector) Describe(c chan<- *prometheus.Desc) { c <- burnRate }

// Collect sends the burn rate of each class and window.
func (b burnCollector) Collect(c chan<- prometheus.Metric) {
	for _, count := range b.counts() {
		c <- prometheus.MustNewConstMetric(burnRate, prometheus.GaugeValue, count.Rate(), count.Class, count.Window)
	}
}
