package fleet

import (
	"context"
	"reflect"
	"time"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/hostlist"
	"eelgrassladder.example/eelgrassladder/internal/model/membership"
	"eelgrassladder.example/eelgrassladder/internal/policy/ownership"
)

// ConfigurationKey is the key of the store that holds the configuration.
const ConfigurationKey = "eelgrassladder.configuration"

// The times of calls to the store.
const (
	// watchWait is how long a watch of the configuration waits.
	watchWait = 20 * time.Second
	// watchPause is the wait after a call that failed.
	watchPause = 500 * time.Millisecond
	// checkPeriod is how often a proxy that does not watch looks whether it
	// should.
	checkPeriod = time.Second
)

// followHosts reads the host list again and again.
func (f *Fleet) followHosts(ctx context.Context) error {
	for ctx.Err() == nil {
		list, err := f.directory.Hosts(ctx)
		if err != nil {
			klog.V(1).InfoS("Host list not read", "Reason", err.Error())
		} else {
			f.setHosts(list, true)
		}
		timer.Pause(ctx, f.timer, listPeriod)
	}
	return ctx.Err()
}

// setHosts takes a host list. One from another proxy counts only until the
// platform's own was read.
func (f *Fleet) setHosts(list hostlist.HostList, own bool) {
	f.mutex.Lock()
	if !own && f.read {
		f.mutex.Unlock()
		return
	}
	if !f.read || !reflect.DeepEqual(f.list.Groups, list.Groups) {
		close(f.listChanged)
		f.listChanged = make(chan struct{})
	}
	f.list = list
	f.read = true
	f.mutex.Unlock()
	f.members.ApplyHostList(list.Proxies, f.timer.Now())
}

// followStore watches the configuration's key, if this proxy is the one in
// its data centre that does.
func (f *Fleet) followStore(ctx context.Context) error {
	for ctx.Err() == nil {
		current := f.versions.Current()
		if current.Version > 0 && !f.watches() {
			timer.Pause(ctx, f.timer, checkPeriod)
			continue
		}
		e, err := f.store.Watch(ctx, ConfigurationKey, current.Version, watchWait)
		if err != nil {
			timer.Pause(ctx, f.timer, watchPause)
			continue
		}
		if e.Version > current.Version && f.Adopt(e.Value, e.Version, e.ChangeID) {
			f.PushChanges()
			continue
		}
		if e.Version > current.Version {
			timer.Pause(ctx, f.timer, watchPause)
		}
	}
	return ctx.Err()
}

// watches reports whether this proxy watches the store for its data centre.
func (f *Fleet) watches() bool {
	view, _ := f.members.View()
	self := f.members.Self()
	var local []membership.Proxy
	for _, p := range view.Live() {
		if p.DataCentre == self.DataCentre {
			local = append(local, p)
		}
	}
	watcher, ok := ownership.OwnerAmong(local, ConfigurationKey)
	return ok && watcher.Name == self.Name
}
