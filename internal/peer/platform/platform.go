// Package platform is the system's side of the platform's key-value service
// and host list. Every call has a timeout and is counted.
package platform

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/gen/http/platform/client"
	generated "eelgrassladder.example/eelgrassladder/gen/platform"
	"eelgrassladder.example/eelgrassladder/internal/model/group"
	"eelgrassladder.example/eelgrassladder/internal/model/hostlist"
	"eelgrassladder.example/eelgrassladder/internal/model/membership"
)

// defaultTimeout bounds a call that does not wait on purpose.
const defaultTimeout = 2 * time.Second

// Client is a Store and a Directory. Use New to make one.
type Client struct {
	// calls is the generated client.
	calls *generated.Client
	// timeout bounds each call, besides the wait of a watch.
	timeout time.Duration
	// counter counts calls by method and result; nil counts nothing.
	counter *prometheus.CounterVec
}

// Option changes a Client while New makes it.
type Option func(*Client)

// WithTimeout sets the time that a call may take.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithCounter counts calls with the labels Method and Result.
func WithCounter(v *prometheus.CounterVec) Option { return func(c *Client) { c.counter = v } }

// New returns a client of the platform at an IP number and port.
func New(address string, options ...Option) *Client {
	doer := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	h := client.NewClient("http", address, doer, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	c := &Client{
		calls:   generated.NewClient(h.Read(), h.Watch(), h.Swap(), h.Lease(), h.Hosts()),
		timeout: defaultTimeout,
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Read returns the entry of a key.
func (c *Client) Read(ctx context.Context, key string) (eelgrassladder.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	e, err := c.calls.Read(ctx, &generated.ReadPayload{Key: key})
	return c.entry("Read", e, err)
}

// Watch returns the entry once its version is above the one given.
func (c *Client) Watch(ctx context.Context, key string, above uint64, wait time.Duration) (eelgrassladder.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	e, err := c.calls.Watch(ctx, &generated.WatchPayload{Key: key, Above: above, WaitMs: int(wait.Milliseconds())})
	return c.entry("Watch", e, err)
}

// Swap sets a key whose version is still the expected one.
func (c *Client) Swap(ctx context.Context, e eelgrassladder.Entry, expected uint64) (eelgrassladder.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	set, err := c.calls.Swap(ctx, &generated.SwapPayload{
		Key: e.Key, Expected: expected, Value: e.Value, ChangeID: e.ChangeID,
	})
	return c.entry("Swap", set, err)
}

// Hosts returns the list of live and leaving hosts.
func (c *Client) Hosts(ctx context.Context) (hostlist.HostList, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	list, err := c.calls.Hosts(ctx)
	c.count("Hosts", err)
	if err != nil {
		return hostlist.HostList{}, errors.WithStack(err)
	}
	return translate(list), nil
}

// entry counts a call and turns its answer into an Entry.
func (c *Client) entry(method string, e *generated.Entry, err error) (eelgrassladder.Entry, error) {
	c.count(method, err)
	var refused *goa.ServiceError
	if errors.As(err, &refused) && refused.Name == "conflict" {
		return eelgrassladder.Entry{}, eelgrassladder.ErrConflict
	}
	if err != nil {
		return eelgrassladder.Entry{}, errors.WithStack(err)
	}
	return eelgrassladder.Entry{Key: e.Key, Value: e.Value, Version: e.Version, ChangeID: e.ChangeID}, nil
}

// count adds one to the counter of a method.
func (c *Client) count(method string, err error) {
	if c.counter == nil {
		return
	}
	result := "Ok"
	if err != nil {
		result = "Failed"
	}
	c.counter.WithLabelValues(method, result).Inc()
}

// translate turns the platform's list into the system's values.
func translate(list *generated.HostList) hostlist.HostList {
	var h hostlist.HostList
	for _, p := range list.Proxies {
		state := membership.Live
		if p.Leaving {
			state = membership.Leaving
		}
		h = h.WithProxy(membership.Proxy{
			Name: p.Name, DataCentre: p.DataCentre, Address: p.Address, State: state,
		})
	}
	for _, e := range list.Endpoints {
		h = h.WithEndpoint(e.Group, group.Member{
			Name: e.Name, DataCentre: e.DataCentre, Address: e.Address,
			Leaving: e.Leaving, Slots: e.Slots, Connections: e.Connections,
		})
	}
	return h
}
