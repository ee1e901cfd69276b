// Package platform is the client of the platform's key-value service and host list
// over HTTP. Every call has a timeout. Calls are counted if WithCounter is given.
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

// defaultTimeout is the timeout of a call; Watch adds its wait to it.
const defaultTimeout = 2 * time.Second

// Client implements the root package's Store and Directory. Use New to make one.
type Client struct {
	calls *generated.Client
	// timeout is the timeout of a call; Watch adds its wait to it.
	timeout time.Duration
	// counter counts calls by method and result; nil if calls are not counted.
	counter *prometheus.CounterVec
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout sets the timeout of a call. Watch adds its wait to it.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithCounter sets the counter of calls, which has the labels Method and Result.
func WithCounter(v *prometheus.CounterVec) Option { return func(c *Client) { c.counter = v } }

// New returns a Client of the platform at an IP address and port.
func New(address string, options ...Option) *Client {
	httpClient := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	transport := client.NewClient("http", address, httpClient, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	c := &Client{
		calls:   generated.NewClient(transport.Read(), transport.Watch(), transport.Swap(), transport.Lease(), transport.Hosts()),
		timeout: defaultTimeout,
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Read returns the entry of a key. Its version is zero if the key is absent.
func (c *Client) Read(ctx context.Context, key string) (eelgrassladder.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	e, err := c.calls.Read(ctx, &generated.ReadPayload{Key: key})
	return c.finishCall("Read", e, err)
}

// Watch returns the entry of a key as soon as its version is above the one given, or
// as it is when the wait has ended.
func (c *Client) Watch(ctx context.Context, key string, above uint64, wait time.Duration) (eelgrassladder.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	e, err := c.calls.Watch(ctx, &generated.WatchPayload{Key: key, Above: above, WaitMs: int(wait.Milliseconds())})
	return c.finishCall("Watch", e, err)
}

// Swap sets the value of a key if its version is the expected one, and returns the
// new entry. It returns ErrConflict if the key has another version.
func (c *Client) Swap(ctx context.Context, e eelgrassladder.Entry, expected uint64) (eelgrassladder.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	swapped, err := c.calls.Swap(ctx, &generated.SwapPayload{
		Key: e.Key, Expected: expected, Value: e.Value, ChangeID: e.ChangeID,
	})
	return c.finishCall("Swap", swapped, err)
}

// Hosts returns the platform's list of live and leaving proxies and endpoints.
func (c *Client) Hosts(ctx context.Context) (hostlist.HostList, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	list, err := c.calls.Hosts(ctx)
	c.countCall("Hosts", err)
	if err != nil {
		return hostlist.HostList{}, errors.WithStack(err)
	}
	return decodeHostList(list), nil
}

// finishCall counts a call and converts its answer or error to the root package's.
func (c *Client) finishCall(method string, e *generated.Entry, err error) (eelgrassladder.Entry, error) {
	c.countCall(method, err)
	var refused *goa.ServiceError
	if errors.As(err, &refused) && refused.Name == "conflict" {
		return eelgrassladder.Entry{}, eelgrassladder.ErrConflict
	}
	if err != nil {
		return eelgrassladder.Entry{}, errors.WithStack(err)
	}
	return eelgrassladder.Entry{Key: e.Key, Value: e.Value, Version: e.Version, ChangeID: e.ChangeID}, nil
}

// countCall counts a call by method and result. Every error counts as Failed, a
// conflict too.
func (c *Client) countCall(method string, err error) {
	if c.counter == nil {
		return
	}
	result := "Ok"
	if err != nil {
		result = "Failed"
	}
	c.counter.WithLabelValues(method, result).Inc()
}

// decodeHostList converts the host list from the generated type.
func decodeHostList(list *generated.HostList) hostlist.HostList {
	var decoded hostlist.HostList
	for _, p := range list.Proxies {
		state := membership.Live
		if p.Leaving {
			state = membership.Leaving
		}
		decoded = decoded.WithProxy(membership.Proxy{
			Name: p.Name, DataCentre: p.DataCentre, Address: p.Address, State: state,
		})
	}
	for _, e := range list.Endpoints {
		decoded = decoded.WithEndpoint(e.Group, group.Member{
			Name: e.Name, DataCentre: e.DataCentre, Address: e.Address,
			Leaving: e.Leaving, Slots: e.Slots, Connections: e.Connections,
		})
	}
	return decoded
}
