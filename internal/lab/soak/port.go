package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// The ports of processes are from firstPort up to lastPort, below the range from
// which the kernel takes the ports of outgoing connections: such a connection could
// otherwise take a port before the process listens on it. They are used in blocks of
// blockSize ports.
const (
	firstPort = 20000
	lastPort  = 32000
	blockSize = 100
)

// ports gives out the loopback addresses on which processes listen. Programs that run at the
// same time use different blocks, so that none takes a port while its process starts again.
type ports struct {
	// mutex guards the fields below. No other lock is taken while it is held.
	mutex sync.Mutex
	// claims holds a listener on the first port of each block that is used. It keeps others
	// from the block until the program ends.
	claims []net.Listener
	// next and end are the ports left of the newest block, from next up to end.
	next, end int
}

// used are the ports of this program.
var used ports

// address returns a loopback address that it has not returned before and on which nothing
// listens.
func (p *ports) address() (string, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for {
		for p.next < p.end {
			p.next++
			l, err := listen(p.next - 1)
			if err != nil {
				continue // another program uses it
			}
			address := l.Addr().String()
			return address, errors.WithStack(l.Close())
		}
		if err := p.claim(); err != nil {
			return "", err
		}
	}
}

// claim claims a block of ports. The caller holds the mutex.
func (p *ports) claim() error {
	for _, number := range rand.Perm((lastPort - firstPort) / blockSize) {
		first := firstPort + number*blockSize
		if l, err := listen(first); err == nil {
			p.claims = append(p.claims, l)
			p.next, p.end = first+1, first+blockSize
			return nil
		}
	}
	return errors.Errorf("find a free port: all blocks from %d to %d are used", firstPort, lastPort)
}

// listen listens on a port of loopback.
func listen(port int) (net.Listener, error) {
	return net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
}
