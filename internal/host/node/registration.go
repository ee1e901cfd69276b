package node

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
)

const (
	// proxyPrefix is where proxies register in the store; the value is the
	// address for other proxies.
	proxyPrefix = "eelgrassladder/proxies/"
	// registrationTime is how long a proxy that died stays registered. Until
	// then its share of connections is not divided anew.
	registrationTime = 8 * time.Second
	// renewal is how often a registration is renewed.
	renewal = 2500 * time.Millisecond
	// retryRenewal is how soon a failed registration is tried again.
	retryRenewal = 400 * time.Millisecond
)

// register keeps this proxy registered until ctx ends.
func (n *Node) register(ctx context.Context) error {
	var lease uint64
	for ctx.Err() == nil && !n.leaving.Load() {
		wait := renewal
		if err := n.renew(ctx, &lease); err != nil {
			klog.V(1).InfoS("Registration failed", "Error", err.Error())
			wait = retryRenewal
		}
		pause := n.timer.Once(wait)
		select {
		case <-ctx.Done():
		case <-pause.C():
		}
		pause.Stop()
	}
	return nil
}

// renew renews the lease of the registration, or registers anew if the lease
// has ended or the store no longer has the key.
func (n *Node) renew(ctx context.Context, lease *uint64) error {
	if *lease != 0 && n.registered.Load() {
		err := n.parts.Store.Keep(ctx, *lease)
		if !errors.Is(err, eelgrassladder.ErrAbsent) {
			return err
		}
	}
	made, err := n.parts.Store.Lease(ctx, registrationTime)
	if err != nil {
		return err
	}
	_, err = n.parts.Store.Apply(ctx, nil, []eelgrassladder.Put{
		{Key: proxyPrefix + n.settings.Name, Value: []byte(n.listeners.siblings.Addr().String()), Lease: made},
	}, nil)
	if err == nil {
		*lease = made
	}
	return err
}

// deregister frees this proxy's share of connections for the others.
func (n *Node) deregister(ctx context.Context) {
	if _, err := n.parts.Store.Apply(ctx, nil, nil, []string{proxyPrefix + n.settings.Name}); err != nil {
		klog.V(1).InfoS("Registration not removed", "Error", err.Error())
	}
}
