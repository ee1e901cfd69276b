package metrics

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"eelgrassladder.example/eelgrassladder/internal/host/failover"
	"eelgrassladder.example/eelgrassladder/internal/host/gateway"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

// Node holds the measures of a proxy on the users' platform. It is an
// Observer of the gateway. Use NewNode to make one.
type Node struct {
	// Registry holds all measures.
	Registry *prometheus.Registry
	// PlatformCalls counts calls to the platform by Method and Result.
	PlatformCalls *prometheus.CounterVec
	// requests counts answers by Consistency, Kind and Code.
	requests *prometheus.CounterVec
	// seconds measures the time to an answer by Consistency and Code.
	seconds *prometheus.HistogramVec
	// tries counts tries that did not answer the client, by Endpoint, Code
	// and Sent.
	tries *prometheus.CounterVec
	// reads counts reads that were served, by Consistency and Place.
	reads *prometheus.CounterVec
	// changes counts changes of primary by Group, Reason and Outcome. Only
	// groups that routes lead to have any.
	changes *prometheus.CounterVec
}

// NewNode returns the measures of a proxy.
func NewNode() *Node {
	n := &Node{
		Registry: prometheus.NewRegistry(),
		PlatformCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassladder_platform_calls_total", Help: "Calls to the platform.",
		}, []string{"Method", "Result"}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassladder_node_requests_total", Help: "Answers to statements of clients.",
		}, []string{"Consistency", "Kind", "Code"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "eelgrassladder_node_answer_seconds", Help: "Time from a whole statement to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 13),
		}, []string{"Consistency", "Code"}),
		tries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassladder_node_tries_total", Help: "Tries at an endpoint that did not answer the client.",
		}, []string{"Endpoint", "Code", "Sent"}),
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassladder_node_reads_total", Help: "Reads served, by where they ran.",
		}, []string{"Consistency", "Place"}),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassladder_node_changes_total", Help: "Changes of primary that this proxy judged due.",
		}, []string{"Group", "Reason", "Outcome"}),
	}
	n.Registry.MustRegister(n.PlatformCalls, n.requests, n.seconds, n.tries, n.reads, n.changes)
	return n
}

// Handler serves the measures at the path /metrics.
func (n *Node) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(n.Registry, promhttp.HandlerOpts{}))
	return mux
}

// Answered counts an answer to a client.
func (n *Node) Answered(a gateway.Answered) {
	consistency, code := a.Route.Consistency.String(), a.Reply.Code.String()
	n.requests.WithLabelValues(consistency, a.Statement.Kind.String(), code).Inc()
	n.seconds.WithLabelValues(consistency, code).Observe(a.Took.Seconds())
	if a.Reply.Signature == "" || a.Statement.Writes() || !a.Statement.AccessesData() {
		return
	}
	place := "Replica"
	if a.Primary {
		place = "Primary"
	}
	n.reads.WithLabelValues(consistency, place).Inc()
}

// AttemptFailed counts a try that did not answer the client.
func (n *Node) AttemptFailed(t gateway.FailedAttempt) {
	code := t.Reply.Code.String()
	if t.Reply.Code == 0 {
		code = "NoAnswer"
	}
	n.tries.WithLabelValues(t.Endpoint, code, strconv.FormatBool(t.Sent)).Inc()
}

// Changed counts an outcome of a change of primary.
func (n *Node) Changed(group string, reason policy.Reason, outcome failover.Outcome) {
	n.changes.WithLabelValues(group, reason.String(), outcome.String()).Inc()
}

// RegisterGauges shows what the process takes to be in force, and how old it is.
func (n *Node) RegisterGauges(version, clients func() float64, leads func() map[string]leader.State, now func() time.Duration) {
	for _, g := range []struct {
		name, help string
		value      func() float64
	}{
		{"eelgrassladder_node_configuration_version", "Version of the routes in force.", version},
		{"eelgrassladder_node_client_connections", "Connections of clients.", clients},
	} {
		n.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: g.name, Help: g.help}, g.value))
	}
	n.Registry.MustRegister(leadCollector{leads: leads, now: now})
}

// The measures of what is known of primaries.
var (
	leadOpen = prometheus.NewDesc("eelgrassladder_node_primary_open",
		"1 if a group's primary takes new work.", []string{"Group", "Endpoint"}, nil)
	proofAge = prometheus.NewDesc("eelgrassladder_node_proof_age_seconds",
		"Time since a group's primary was surely the only one.", []string{"Group"}, nil)
	positionAge = prometheus.NewDesc("eelgrassladder_node_position_age_seconds",
		"Time since the latest position of a group's primary was asked for.", []string{"Group"}, nil)
)

// leadCollector reads what is known of primaries when it is asked.
type leadCollector struct {
	leads func() map[string]leader.State
	now   func() time.Duration
}

// Describe sends the descriptions of the measures.
func (leadCollector) Describe(c chan<- *prometheus.Desc) {
	c <- leadOpen
	c <- proofAge
	c <- positionAge
}

// Collect sends the measures of each group.
func (l leadCollector) Collect(c chan<- prometheus.Metric) {
	now := l.now()
	for group, one := range l.leads() {
		open := 0.0
		if one.Open() {
			open = 1
		}
		c <- prometheus.MustNewConstMetric(leadOpen, prometheus.GaugeValue, open, group, one.Endpoint)
		c <- prometheus.MustNewConstMetric(proofAge, prometheus.GaugeValue, (now - one.Proven).Seconds(), group)
		c <- prometheus.MustNewConstMetric(positionAge, prometheus.GaugeValue, (now - one.LastSampleTime()).Seconds(), group)
	}
}
