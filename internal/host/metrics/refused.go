package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"eelgrassladder.example/eelgrassladder"
)

// newRefused returns the counter of the clients that were refused, or whose connections were
// closed, by Reason. All reasons are shown from the start.
func newRefused() *prometheus.CounterVec {
	refused := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "eelgrassladder_clients_refused_total", Help: "Clients that were refused, or whose connections were closed.",
	}, []string{"Reason"})
	for _, r := range eelgrassladder.RefusalReasons() {
		refused.WithLabelValues(string(r))
	}
	return refused
}

// ClientRefused counts a client that was refused, or whose connection was closed.
func (n *Node) ClientRefused(r eelgrassladder.RefusalReason) {
	n.refused.WithLabelValues(string(r)).Inc()
}

// ClientRefused counts a caller that was refused, or whose connection was closed.
func (m *Metrics) ClientRefused(r eelgrassladder.RefusalReason) {
	m.refused.WithLabelValues(string(r)).Inc()
}
