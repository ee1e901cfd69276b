package service

import (
	"net"
	"runtime/debug"
	"time"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/listener"
	policy "eelgrassladder.example/eelgrassladder/internal/policy/budget"
	"eelgrassladder.example/eelgrassladder/internal/table/budget"
)

const (
	// listenerShare is the part of the descriptors that one listener's connections may take;
	// callers of the PostgreSQL protocol, whose connections are not closed for others, may take
	// half.
	listenerShare = 8
	// defaultListenerConnections is the highest number of a listener's connections if the
	// settings name no limit of descriptors.
	defaultListenerConnections = 4096
	// goMemoryTenths is how many tenths of the process's memory the Go runtime may use before
	// it collects garbage as often as needed.
	goMemoryTenths = 5
)

// siblingBounds are what a connection of another proxy may take. A stream of requests may be
// idle for as long as nobody sends any.
var siblingBounds = listener.Bounds{Copies: 4, Started: 30 * time.Second, Idle: time.Hour, Write: 30 * time.Second}

// createBudgets creates the budgets for what callers and other proxies hold.
func (s *Service) createBudgets() {
	s.callers, s.peers = eelgrassladder.UnlimitedMemory{}, eelgrassladder.UnlimitedMemory{}
	memory := int64(s.settings.Limits.MemoryMegabytes) << 20
	if memory == 0 {
		return
	}
	callers := budget.New(s.timer, policy.NewLimits(memory))
	s.callers, s.peers = callers, budget.New(s.timer, policy.NewPeerLimits(memory))
	s.metrics.RegisterGauge("eelgrassladder_clients_held_bytes", "Bytes that callers hold above what each connection may hold.", func() float64 {
		return float64(callers.Held())
	})
}

// limitMemory sets the Go runtime's soft limit if the settings limit the memory.
func (s *Service) limitMemory() {
	if memory := int64(s.settings.Limits.MemoryMegabytes) << 20; memory > 0 {
		debug.SetMemoryLimit(memory / 10 * goMemoryTenths)
	}
}

// bounded returns a listener with a highest number of connections.
func (s *Service) bounded(name string, l net.Listener) net.Listener {
	limit := defaultListenerConnections
	if s.settings.Limits.Descriptors > 0 {
		limit = max(s.settings.Limits.Descriptors/listenerShare, 1)
	}
	return listener.NewBounded(l, limit, func(address string) {
		klog.V(1).InfoS("Connection closed for a new one", "Listener", name, "Client", address, "Limit", limit)
	})
}
