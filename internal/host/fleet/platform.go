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

// ConfigurationKey is the store's key for the configuration.
const ConfigurationKey = "eelgrassladder.configuration"

// The timing of calls to the store.
const (
	// watchTimeout is how long the store may wait for a new version before it
	// answers one watch call.
	watchTimeout = 20 * time.Second
	// watchRetryPause is the delay after a failed call or a configuration that
	// could not be applied.
	watchRetryPause = 500 * time.Millisecond
	// watcherCheckPeriod is the interval at which a proxy that does not watch
	// the store checks whether it has become the watcher of its data centre.
	watcherCheckPeriod = time.Second
)

// pollHosts reads the host list periodically until ctx ends.
func (f *Fleet) pollHosts(ctx context.Context) error {
	for ctx.Err() == nil {
		list, err := f.directory.Hosts(ctx)
		if err != nil {
			klog.V(1).InfoS("Reading the host list failed", "Reason", err.Error())
		} else {
			f.setHosts(list, true)
		}
		timer.Pause(ctx, f.timer, hostListPeriod)
	}
	return ctx.Err()
}

// setHosts sets the host list. A list from another proxy is used only if there
// is none yet.
func (f *Fleet) setHosts(list hostlist.HostList, fromPlatform bool) {
	f.mutex.Lock()
	if !fromPlatform && f.hostsRead {
		f.mutex.Unlock()
		return
	}
	if !f.hostsRead || !reflect.DeepEqual(f.hosts.Groups, list.Groups) {
		close(f.hostsChanged)
		f.hostsChanged = make(chan struct{})
	}
	f.hosts = list
	f.hostsRead = true
	f.mutex.Unlock()
	f.proxies.ApplyHostList(list.Proxies, f.timer.Now())
}

// watchConfiguration applies new versions of the configuration from the store
// until ctx ends. Once a version is known, only one proxy per data centre
// watches; it pushes changes to the others.
func (f *Fleet) watchConfiguration(ctx context.Context) error {
	for ctx.Err() == nil {
		current := f.configurations.Current()
		if current.Version > 0 && !f.isWatcher() {
			timer.Pause(ctx, f.timer, watcherCheckPeriod)
			continue
		}
		entry, err := f.store.Watch(ctx, ConfigurationKey, current.Version, watchTimeout)
		if err != nil {
			timer.Pause(ctx, f.timer, watchRetryPause)
			continue
		}
		if entry.Version > current.Version && f.Adopt(entry.Value, entry.Version, entry.ChangeID) {
			f.PushChanges()
			continue
		}
		if entry.Version > current.Version {
			timer.Pause(ctx, f.timer, watchRetryPause)
		}
	}
	return ctx.Err()
}

// isWatcher reports whether this proxy watches the store on behalf of its data
// centre.
func (f *Fleet) isWatcher() bool {
	view, _ := f.proxies.View()
	self := f.proxies.Self()
	var local []membership.Proxy
	for _, p := range view.Live() {
		if p.DataCentre == self.DataCentre {
			local = append(local, p)
		}
	}
	watcher, ok := ownership.HighestScoring(local, ConfigurationKey)
	return ok && watcher.Name == self.Name
}
