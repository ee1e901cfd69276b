// Package refusal records which clients were refused, or their connections closed, and why.
package refusal

import (
	"time"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/logging"
)

// linesPerSecond is the number of log lines per second, over all reasons.
const linesPerSecond = 10

// Log counts refused clients and logs them at a limited rate. Use NewLog to make one.
type Log struct {
	sampler *logging.Sampler
	count   func(eelgrassladder.RefusalReason)
}

// NewLog returns a Log that calls count for each refusal.
func NewLog(count func(eelgrassladder.RefusalReason)) *Log {
	return &Log{sampler: logging.NewSampler(linesPerSecond), count: count}
}

// Refused records that a client was refused, or its connection closed.
func (l *Log) Refused(r eelgrassladder.RefusalReason, address string) {
	l.count(r)
	if omitted, allowed := l.sampler.Allow(time.Now(), ""); allowed {
		klog.InfoS("Client refused or closed", "Reason", string(r), "Client", address, "Omitted", omitted)
	}
}
