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
	// proxyPrefix is where proxies register in the store.
	proxyPrefix = "eelgrassladder/proxies/"
	// registrationTime is how long a proxy that died stays registered. Until
	// then its share of connections is not divided anew, and a process that
	// starts in its place goes on with its entry.
	registrationTime = 8 * time.Second
	// renewal is how often a registration is renewed.
	renewal = 2500 * time.Millisecond
	// retryRenewal is how soon a failed registration is tried again.
	retryRenewal = 400 * time.Millisecond
)

// registration is the entry of a proxy in the store. It is immutable.
type registration struct {
	// address is where other proxies reach it.
	address string
	// lease is the one that the entry ends with.
	lease uint64
}

// String returns the entry as it lies in the store.
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

// takeRegistration takes what the store says of this proxy's own entry, which
// an earlier process at the same address may have made.
func (n *Node) takeRegistration(r registration, gone bool) {
	if gone || r.address != n.listeners.siblings.Addr().String() || r.lease == 0 {
		n.registered.Store(false)
		return
	}
	n.lease.Store(r.lease)
	n.registered.Store(true)
}

// register keeps this proxy registered until ctx ends.
func (n *Node) register(ctx context.Context) error {
	for ctx.Err() == nil && !n.leaving.Load() {
		wait := retryRenewal
		if n.listed.Load() {
			wait = renewal
			if err := n.renew(ctx); err != nil {
				klog.V(1).InfoS("Registration failed", "Error", err.Error())
				wait = retryRenewal
			}
		}
		timer.Pause(ctx, n.timer, wait)
	}
	return nil
}

// renew renews the lease of the registration, or registers anew if the lease
// has ended or the store no longer has the entry.
func (n *Node) renew(ctx context.Context) error {
	if n.registered.Load() {
		err := n.parts.Store.RenewLease(ctx, n.lease.Load())
		if !errors.Is(err, eelgrassladder.ErrLeaseEnded) {
			return err
		}
	}
	made, err := n.parts.Store.GrantLease(ctx, registrationTime)
	if err != nil {
		return err
	}
	r := registration{address: n.listeners.siblings.Addr().String(), lease: made}
	_, err = n.parts.Store.Apply(ctx, nil, []eelgrassladder.Put{
		{Key: proxyPrefix + n.settings.Name, Value: []byte(r.String()), Lease: made},
	}, nil)
	if err == nil {
		n.takeRegistration(r, false)
	}
	return err
}
