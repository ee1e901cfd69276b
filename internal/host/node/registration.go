package node

import (
	"context"
	"net/netip"
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
	// registrationLease is the lifetime of the lease of a proxy's entry, and so how long
	// the entry of a crashed proxy stays in the store. Until it ends, the proxy's share of
	// connections is not given to others, and a process that restarts at the same address
	// takes over the entry.
	registrationLease = 8 * time.Second
	// renewInterval is how often the lease of a registration is renewed.
	renewInterval = 2500 * time.Millisecond
	// startDelay is the wait before another look whether the store has been read, as it
	// must be before the first registration.
	startDelay = 10 * time.Millisecond
	// renewRetryDelay is the wait after a failed registration or renewal.
	renewRetryDelay = 400 * time.Millisecond
)

// registration is the entry of a proxy in the store. It is immutable.
type registration struct {
	// address is where other proxies reach the proxy.
	address string
	// lease is the ID of the lease of the entry; zero for none. The store removes the
	// entry when the lease ends.
	lease uint64
	// dataCentre is the proxy's data centre; empty if it is not known.
	dataCentre string
}

// newRegistration returns the entry of a proxy. A data centre whose name is not one field is
// left out.
func newRegistration(address string, lease uint64, dataCentre string) registration {
	if fields := strings.Fields(dataCentre); len(fields) != 1 || fields[0] != dataCentre {
		dataCentre = ""
	}
	return registration{address: address, lease: lease, dataCentre: dataCentre}
}

// String returns the value of the entry in the store, ADDRESS LEASE DATACENTRE, without the
// last field if it is not known.
func (r registration) String() string {
	text := r.address + " " + strconv.FormatUint(r.lease, 10)
	if r.dataCentre != "" {
		text += " " + r.dataCentre
	}
	return text
}

// parseRegistration decodes the value of an entry. The lease is zero if the value has
// none or a malformed one. Fields after the data centre are ignored. It returns an error if no proxy can be reached at the address.
func parseRegistration(value []byte) (registration, error) {
	text, rest, _ := strings.Cut(string(value), " ")
	lease, rest, _ := strings.Cut(rest, " ")
	dataCentre, _, _ := strings.Cut(rest, " ")
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return registration{}, errors.Wrap(err, "decode the registration of a proxy")
	}
	if address.Addr().IsUnspecified() || address.Port() == 0 {
		return registration{}, errors.Errorf("address %q in the registration of a proxy is not that of a host", text)
	}
	n, err := strconv.ParseUint(lease, 10, 64)
	if err != nil {
		return registration{address: text, dataCentre: dataCentre}, nil
	}
	return registration{address: text, lease: n, dataCentre: dataCentre}, nil
}

// noteRegistration records whether the store has a valid entry of this proxy, and its
// lease. An entry of an earlier version without the data centre is replaced. An earlier process at the same address may have made the entry; this process then
// renews that process's lease.
func (n *Node) noteRegistration(r registration, gone bool) {
	own := newRegistration(n.listeners.siblings.Addr().String(), r.lease, n.settings.DataCentre)
	if gone || r != own || r.lease == 0 {
		n.registered.Store(false)
		return
	}
	n.registrationLeaseID.Store(r.lease)
	n.registered.Store(true)
	if !n.state.wasRegistered.Swap(true) && n.storeRead.Load() && n.producesFrom.Load() == 0 {
		n.produceFrom(n.dependencies.Clock.SinceBoot() + announceTime)
	}
}

// announceTime is how long after the first registration of this process the other proxies may
// not know of it. They apply changes of the store in 1.8 s at the latest.
const announceTime = 2 * time.Second

// produceFrom sets the boot time from which this process produces tokens of teams. Before, the
// other proxies may still produce its share.
func (n *Node) produceFrom(at time.Duration) {
	n.producesFrom.Store(int64(at))
	n.quotas.Refresh()
}

// register keeps this proxy registered until ctx ends or the process begins to stop. It
// waits until the store has been read, which shows an entry of an earlier process.
func (n *Node) register(ctx context.Context) error {
	for ctx.Err() == nil && !n.leaving.Load() {
		wait := startDelay
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

// enterEra has the proxy registered anew, because the store came back from an older copy: its
// entry may be gone, and the ID of its lease may be given to another lease.
func (n *Node) enterEra(era uint64) {
	n.registered.Store(false)
	n.dependencies.Instruments.EraLearned(era)
}

// renew renews the lease of the registration. It registers the proxy anew if the
// lease has ended or the store no longer has the entry.
func (n *Node) renew(ctx context.Context) error {
	if n.registered.Load() {
		err := n.dependencies.Store.RenewLease(ctx, n.registrationLeaseID.Load())
		if !errors.Is(err, eelgrassladder.ErrLeaseEnded) {
			return err
		}
	}
	lease, err := n.dependencies.Store.GrantLease(ctx, registrationLease)
	if err != nil {
		return err
	}
	r := newRegistration(n.listeners.siblings.Addr().String(), lease, n.settings.DataCentre)
	_, err = n.dependencies.Store.Apply(ctx, nil, []eelgrassladder.Put{
		{Key: proxyPrefix + n.settings.Name, Value: []byte(r.String()), Lease: lease},
	}, nil)
	if err == nil {
		n.noteRegistration(r, false)
	}
	return err
}
