package node

import (
	"net"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/host/settings"
)

// listeners holds the listeners of a process.
type listeners struct {
	callers   net.Listener
	readiness net.Listener
	metrics   net.Listener
	siblings  net.Listener
}

// listen opens all listeners. If one fails, it closes the others.
func listen(s settings.Node) (listeners, error) {
	var l listeners
	for _, wanted := range []struct {
		address string
		target  *net.Listener
	}{{s.Callers, &l.callers}, {s.Readiness, &l.readiness}, {s.Metrics, &l.metrics}, {s.Sibling, &l.siblings}} {
		opened, err := net.Listen("tcp4", wanted.address)
		if err != nil {
			l.close()
			return listeners{}, errors.WithStack(err)
		}
		*wanted.target = opened
	}
	return l, nil
}

// close closes the listeners that are open.
func (l listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.readiness, l.metrics, l.siblings} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
