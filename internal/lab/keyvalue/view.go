package keyvalue

import (
	"context"
	"net"

	goahttp "goa.design/goa/v3/http"

	"eelgrassladder.example/eelgrassladder/gen/http/kv/server"
	"eelgrassladder.example/eelgrassladder/gen/kv"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
)

// Rewrite returns the value of a key that the callers of a view read.
type Rewrite func(key string, value []byte) []byte

// view is a store whose values are rewritten when they are read.
type view struct {
	*Store
	rewrite Rewrite
}

// ServeView serves the calls of the store like Serve, with values that are rewritten when
// they are read. What a caller writes is stored unchanged.
func (s *Store) ServeView(g *task.Group, l net.Listener, r Rewrite) {
	mux := goahttp.NewMuxer()
	endpoints := kv.NewEndpoints(view{Store: s, rewrite: r})
	server.Mount(mux, server.New(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, errorStatus))
	serve(g, l, s.nameEra(abortLostAnswers(mux)))
}

// Range returns what Store.Range does, with rewritten values.
func (v view) Range(ctx context.Context, p *kv.RangePayload) (*kv.RangeResult, error) {
	result, err := v.Store.Range(ctx, p)
	if err == nil {
		result.Items = v.rewritten(result.Items)
	}
	return result, err
}

// Watch returns what Store.Watch does, with rewritten values.
func (v view) Watch(ctx context.Context, p *kv.WatchPayload) (*kv.WatchResult, error) {
	result, err := v.Store.Watch(ctx, p)
	if err == nil {
		result.Events = v.rewritten(result.Events)
	}
	return result, err
}

// rewritten returns copies of the items with rewritten values.
func (v view) rewritten(items []*kv.Item) []*kv.Item {
	copies := make([]*kv.Item, len(items))
	for i, item := range items {
		c := *item
		c.Value = v.rewrite(c.Key, c.Value)
		copies[i] = &c
	}
	return copies
}
