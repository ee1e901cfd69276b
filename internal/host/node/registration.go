package node

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
)

const (
	// proxyPrefix is the prefix of the store's keys of registered proxies.
	proxyPrefix = "eelgrassladder/proxies/"
	// registrationLease is how long the entry of a crashed proxy stays in the store.
	// Until it expires, the proxy's share of connections is not given to others, and
	// a process that restarts in its place takes over the entry.
	registrationLease = 8 * time.Second
	// renewInterval is how often the lease of a registration is renewed.
	renewInterval = 2500 * time.Millisecond
	// renewRetryDelay is the wait after a failed registration or renewal.
	renewRetryDelay = 400 * time.Millisecond
)

// registration is the entry of a proxy in the store. It is immutable.
type registration struct {
	// address is where other proxies reach the proxy.
	address string
	// lease is the lease of the entry; zero for none. The entry ends with it.
	lease uint64
}

// String returns the entry as it is written to the store.
func (r registration) String() string { return r.address + " " + strconv.FormatUint(r.lease, 10) }

// parseRegistration reads an entry. An entry without a lease has lease zero.
func parseRegistration(value []byte) registration {
	address, lease, _ := strings.Cut(string(value), " ")
	n, err := strconv.ParseUint(lease, 10, 64)
	if err != nil {
		return registration{address: address}
	}
	return registration{address: address, lease: n}
}

// noteRegistration notes the store's entry of this proxy. An earlier process at the
// same address may have made it; its lease is then taken over.
func (n *Node) noteRegistration(r registration, gone bool) {
	if gone || r.address != n.listeners.siblings.Addr().String() || r.lease == 0 {
		n.registered.Store(false)
		return
	}
	n.lease.Store(r.lease)
	n.registered.Store(true)
}

// register keeps this proxy registered until ctx ends or the process is stopping.
func (n *Node) register(ctx context.Context) error {
	for ctx.Err() == nil && !n.leaving.Load() {
		wait := renewRetryDelay
		if n.storeRead.Load() {
			wait = renewInterval
			if err := n.renew(ctx); err != nil {
				klog.V(1).InfoS("Could not register the proxy in the store", "Error", err.Error())
				wait = renewRetryDelay
			}
		}
		timer.Pause(ctx, n.timer, wait)
	}
	return nil
}

// renew renews the lease of the registration. It registers the proxy anew if the
// lease has ended or the store no longer has the entry.
func (n *Node) renew(ctx context.Context) error {
	if n.registered.Load() {
		err := n.dependencies.Store.RenewLease(ctx, n.lease.Load())
		if !errors.Is(err, eelgrassladder.ErrLeaseEnded) {
			return err
		}
	}
	lease, err := n.dependencies.Store.GrantLease(ctx, registrationLease)
	if err != nil {
		return err
	}
	r := registration{address: n.listeners.siblings.Addr().String(), lease: lease}
	_, err = n.dependencies.Store.Apply(ctx, nil, []eelgrassladder.Put{
		{Key: proxyPrefix + n.settings.Name, Value: []byte(r.String()), Lease: lease},
	}, nil)
	if err == nil {
		n.noteRegistration(r, false)
	}
	return err
}
