package crowd_test

import (
	"bytes"
	"strings"
	"testing"
)

// playHTTP has a crowd act on the addresses for metrics and readiness.
func (p *proxy) playHTTP(clients int, act func(*visitor)) {
	p.playAt([]string{p.settings.Metrics, p.settings.Readiness}, clients, act)
}

// verifyHTTP is verify for a crowd on the addresses for metrics and readiness: requests to
// these are served too, once the crowd has left.
func (p *proxy) verifyHTTP(t *testing.T) {
	t.Helper()
	p.verify(t)
	p.await(t, "a request for metrics", func() error { return get(p.settings.Metrics, "/metrics") })
	p.await(t, "a readiness probe", func() error { return get(p.settings.Readiness, "/readiness") })
}

// TestSlowHeadersOnMetricsAndReadiness guards against connections that stay while their
// headers arrive byte by byte.
func TestSlowHeadersOnMetricsAndReadiness(t *testing.T) {
	p := startProxy(t, limits{megabytes: 96, descriptors: 700})
	p.playHTTP(1000, func(v *visitor) {
		v.send([]byte("GET /metrics HTTP/1.1\r\nHost: a\r\nX-Slow: "))
		v.sendSlowly("a")
	})
	p.verifyHTTP(t)
}

// TestHugeHeadersOnMetricsAndReadiness guards against buffering headers far longer than those
// of any probe.
func TestHugeHeadersOnMetricsAndReadiness(t *testing.T) {
	p := startProxy(t, defaultLimits)
	header := []byte("GET /metrics HTTP/1.1\r\nHost: a\r\nX-Large: " + strings.Repeat("a", largeMessage))
	p.playHTTP(150, func(v *visitor) { v.send(header) })
	p.verifyHTTP(t)
}

// TestSlowBodiesOnMetricsAndReadiness guards against connections that stay while the body of
// a request, which nothing needs, arrives byte by byte.
func TestSlowBodiesOnMetricsAndReadiness(t *testing.T) {
	p := startProxy(t, limits{megabytes: 96, descriptors: 700})
	p.playHTTP(1000, func(v *visitor) {
		v.send([]byte("POST /metrics HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n"))
		v.sendSlowly("a")
	})
	p.verifyHTTP(t)
}

// TestIdleConnectionsOnMetricsAndReadiness guards against connections that stay after a
// request was served.
func TestIdleConnectionsOnMetricsAndReadiness(t *testing.T) {
	p := startProxy(t, limits{megabytes: 96, descriptors: 700})
	p.playHTTP(1000, func(v *visitor) {
		v.send([]byte("GET /readiness HTTP/1.1\r\nHost: a\r\n\r\n"))
		v.discard()
	})
	p.verifyHTTP(t)
}

// TestUnreadAnswersOnMetricsAndReadiness guards against answers that are kept for clients
// which do not read them.
func TestUnreadAnswersOnMetricsAndReadiness(t *testing.T) {
	p := startProxy(t, limits{megabytes: 96, descriptors: 700})
	requests := bytes.Repeat([]byte("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n"), 1000)
	p.playHTTP(1000, func(v *visitor) { v.send(requests) })
	p.verifyHTTP(t)
}
