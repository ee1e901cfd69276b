package metrics

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"eelgrassladder.example/eelgrassladder/internal/host/delegation"
	"eelgrassladder.example/eelgrassladder/internal/host/failover"
	"eelgrassladder.example/eelgrassladder/internal/host/gateway"
	"eelgrassladder.example/eelgrassladder/internal/host/opening"
	"eelgrassladder.example/eelgrassladder/internal/model/leader"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/failover"
)

// Node holds the metrics of a proxy on the users' platform. It implements
// Observer of the packages gateway and failover. Use NewNode to create it.
type Node struct {
	Registry *prometheus.Registry
	// PlatformCalls counts calls to the platform by Method and Result.
	PlatformCalls *prometheus.CounterVec
	// UnexpectedAnswers counts, by Endpoint and Verdict, the answers of endpoints that are
	// not the own ones of the statements that waited for an answer.
	UnexpectedAnswers *prometheus.CounterVec
	// requests counts answers to clients by Consistency, Kind and Code.
	requests *prometheus.CounterVec
	// latency measures, by Consistency and Code, the seconds from the complete
	// receipt of a statement to its answer.
	latency *prometheus.HistogramVec
	// tries counts, by Endpoint, Code and Sent, the attempts at an endpoint that
	// gave the client no answer.
	tries *prometheus.CounterVec
	// reads counts completed reads of data by Consistency and Place, which is
	// Primary or Replica.
	reads *prometheus.CounterVec
	// changes counts the outcomes of changes of primary by Group, Reason and
	// Outcome. Groups to which no route leads have none.
	changes *prometheus.CounterVec
	// unconfirmed counts, by Doubt, the commits that were passed on to clients while the
	// group's record was not surely open, and as SinceOpen those that turned out so
	// later. A commit can count under two of them.
	unconfirmed *prometheus.CounterVec
	// refused counts by Reason the clients that were refused, or whose connections were closed.
	refused *prometheus.CounterVec
	// olderRecords counts the records that were applied after a newer one.
	olderRecords prometheus.Counter
	// era is the newest known era of the platform's store.
	era prometheus.Gauge
	// quotaOperations counts the operations of limited teams by Result, and quotaLoans the
	// requests for tokens by Side and Result.
	quotaOperations, quotaLoans *prometheus.CounterVec
	// delegated counts, by Side and Result, operations that one proxy has another run.
	delegated *prometheus.CounterVec
	// openings counts, by Endpoint and Result, attempts to open a connection, and
	// openingSeconds sums up, by Endpoint, how long they took.
	openings, openingSeconds *prometheus.CounterVec
}

// NewNode returns the metrics of a proxy, registered in Registry.
func NewNode() *Node {
	n := &Node{
		Registry: prometheus.NewRegistry(),
		PlatformCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassladder_platform_calls_total", Help: "Calls to the platform.",
		}, []string{"Method", "Result"}),
		UnexpectedAnswers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassladder_node_unexpected_answers_total", Help: "Answers of endpoints that do not belong to the statement that waited.",
		}, []string{"Endpoint", "Verdict"}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassladder_node_requests_total", Help: "Answers to statements of clients.",
		}, []string{"Consistency", "Kind", "Code"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
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
		unconfirmed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassladder_node_unconfirmed_commits_total", Help: "Commits that clients were told of while the group's record was not surely open.",
		}, []string{"Doubt"}),
		refused: newRefused(),
		olderRecords: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "eelgrassladder_node_older_records_total", Help: "Records of primaries that were applied after a newer one.",
		}),
		era: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "eelgrassladder_node_store_era", Help: "Newest known era of the platform's store; 0 if it names none.",
		}),
		quotaOperations: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassladder_quota_operations_total", Help: "Operations of teams with a limit.",
		}, []string{"Result"}),
		quotaLoans: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassladder_quota_loans_total", Help: "Requests for tokens of teams between proxies.",
		}, []string{"Side", "Result"}),
		delegated: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassladder_delegated_operations_total", Help: "Operations that one proxy has another run.",
		}, []string{"Side", "Result"}),
		openings: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassladder_node_openings_total", Help: "Attempts to open a connection to an endpoint.",
		}, []string{"Endpoint", "Result"}),
		openingSeconds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "eelgrassladder_node_opening_seconds_total", Help: "Time that the attempts to open a connection took.",
		}, []string{"Endpoint"}),
	}
	n.Registry.MustRegister(n.PlatformCalls, n.UnexpectedAnswers, n.requests, n.latency, n.tries, n.reads, n.changes, n.unconfirmed, n.olderRecords, n.era, n.refused, n.delegated, n.quotaOperations, n.quotaLoans, n.openings, n.openingSeconds)
	return n
}

// maxScrapes is how many requests for the metrics are answered at one time. Each takes some
// hundred kilobytes.
const maxScrapes = 4

// Handler serves the metrics at the path /metrics.
func (n *Node) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(n.Registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes}))
	return mux
}

// Answered records an answer to a client.
func (n *Node) Answered(a gateway.Answered) {
	if d := a.Doubt(); d != gateway.NoDoubt {
		n.unconfirmed.WithLabelValues(d.String()).Inc()
	}
	if a.Asker != "" {
		return // the proxy that has the client counts the answer
	}
	consistency, code := a.Route.Consistency.String(), a.Reply.Code.String()
	n.requests.WithLabelValues(consistency, a.Statement.Kind.String(), code).Inc()
	n.latency.WithLabelValues(consistency, code).Observe(a.Took.Seconds())
	// Only the reply of an endpoint that ran the statement has a signature.
	if a.Reply.Signature == "" || a.Statement.Writes() || !a.Statement.AccessesData() {
		return
	}
	place := "Replica"
	if a.Primary {
		place = "Primary"
	}
	n.reads.WithLabelValues(consistency, place).Inc()
}

// AttemptFailed records an attempt that gave the client no answer.
func (n *Node) AttemptFailed(a gateway.FailedAttempt) {
	code := a.Reply.Code.String()
	if a.Reply.Code == 0 {
		code = "NoAnswer"
	}
	n.tries.WithLabelValues(a.Endpoint, code, strconv.FormatBool(a.Sent)).Inc()
}

// Changed records an outcome of a change of primary.
func (n *Node) Changed(group string, reason policy.Reason, outcome failover.Outcome) {
	n.changes.WithLabelValues(group, reason.String(), outcome.String()).Inc()
}

// doubtSinceOpen is the Doubt of commits that were acknowledged after the record was last
// known to be open, before the proxy learned that it is closed.
const doubtSinceOpen = "SinceOpen"

// CommitsUnconfirmed records commits that were acknowledged between the time at which a
// group's record was last known to be open and the time at which this proxy learned that
// it is closed.
func (n *Node) CommitsUnconfirmed(commits int) {
	n.unconfirmed.WithLabelValues(doubtSinceOpen).Add(float64(commits))
}

// OperationDelegated records a result of an operation that one proxy has another run.
func (n *Node) OperationDelegated(s delegation.Side, r delegation.Result) {
	n.delegated.WithLabelValues(string(s), string(r)).Inc()
}

// ConnectionAttempted records an attempt to open a connection to an endpoint.
func (n *Node) ConnectionAttempted(a opening.Attempt) {
	n.openings.WithLabelValues(a.Endpoint, string(a.Result)).Inc()
	n.openingSeconds.WithLabelValues(a.Endpoint).Add(a.Took.Seconds())
}

// OlderRecordApplied records that a record was applied after a newer one of its group.
func (n *Node) OlderRecordApplied() { n.olderRecords.Inc() }

// EraLearned exports the newest known era of the store.
func (n *Node) EraLearned(era uint64) { n.era.Set(float64(era)) }

// RegisterGauges registers gauges for the version of the routes, the client
// connections, the bytes that clients hold, and the known primaries by group. The functions are called at each
// scrape. Like the times in leader.State, now is a time since boot.
func (n *Node) RegisterGauges(version, clients, held func() float64, primaries func() map[string]leader.State, now func() time.Duration) {
	for _, g := range []struct {
		name, help string
		value      func() float64
	}{
		{"eelgrassladder_node_configuration_version", "Version of the routes in force.", version},
		{"eelgrassladder_node_client_connections", "Connections of clients.", clients},
		{"eelgrassladder_clients_held_bytes", "Bytes that clients hold above what each connection may hold.", held},
	} {
		n.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: g.name, Help: g.help}, g.value))
	}
	n.Registry.MustRegister(primaryCollector{primaries: primaries, now: now})
}

// The metrics of known primaries.
var (
	primaryOpen = prometheus.NewDesc("eelgrassladder_node_primary_open",
		"1 if a group's primary takes new work.", []string{"Group", "Endpoint"}, nil)
	proofAge = prometheus.NewDesc("eelgrassladder_node_proof_age_seconds",
		"Time since a group's primary was surely the only one.", []string{"Group"}, nil)
	positionAge = prometheus.NewDesc("eelgrassladder_node_position_age_seconds",
		"Time since the latest position of a group's primary was asked for.", []string{"Group"}, nil)
)

// primaryCollector computes the metrics of known primaries at each scrape.
type primaryCollector struct {
	primaries func() map[string]leader.State
	now       func() time.Duration
}

// Describe implements prometheus.Collector.
func (primaryCollector) Describe(c chan<- *prometheus.Desc) {
	c <- primaryOpen
	c <- proofAge
	c <- positionAge
}

// Collect implements prometheus.Collector.
func (p primaryCollector) Collect(c chan<- prometheus.Metric) {
	now := p.now()
	for group, state := range p.primaries() {
		open := 0.0
		if state.Open() {
			open = 1
		}
		c <- prometheus.MustNewConstMetric(primaryOpen, prometheus.GaugeValue, open, group, state.Endpoint)
		c <- prometheus.MustNewConstMetric(proofAge, prometheus.GaugeValue, (now - state.Proven).Seconds(), group)
		c <- prometheus.MustNewConstMetric(positionAge, prometheus.GaugeValue, (now - state.LastSampleTime()).Seconds(), group)
	}
}
