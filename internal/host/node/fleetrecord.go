package node

import (
	"context"
	"maps"
	"time"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/model/fleetrecord"
)

// fleetInterval is how often the record of the proxies is compared with those that are known.
// A set of proxies is written that was the same at two comparisons, so that proxies that start
// together cause one write.
const fleetInterval = time.Second

// recordFleet keeps the record of the proxies that share the limits of teams up to date until
// ctx ends, on the one proxy whose turn it is.
func (n *Node) recordFleet(ctx context.Context) error {
	ticks := n.timer.Subscribe(fleetInterval)
	defer ticks.Stop()
	var last fleetrecord.Record
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C():
		}
		known, wanted := n.state.fleetRecords(n.listeners.siblings.Addr().String())
		stable := wanted.SameProxies(last)
		last = wanted
		if !stable || wanted.SameProxies(known) || !n.registered.Load() || !n.fleet().Among(1, fleetrecord.Key) {
			continue
		}
		_, err := n.dependencies.Store.Apply(ctx, []eelgrassladder.Expectation{{Key: fleetrecord.Key, Revision: known.Revision}},
			[]eelgrassladder.Put{{Key: fleetrecord.Key, Value: wanted.Bytes()}}, nil)
		klog.InfoS("Recording the proxies that share limits", "Proxies", len(wanted.Addresses()), "Before", len(known.Addresses()), "Error", err)
	}
}

// fleetRecords returns the record of the proxies in the store, and the record that should be
// there. A proxy whose registration has ended stays for lenderRetention, which this process
// knows only once it has had the list of proxies for so long.
func (s *clusterState) fleetRecords(ownAddress string) (known, wanted fleetrecord.Record) {
	present := s.presentLenders()
	present[s.name] = ownAddress
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.proxiesSince > 0 && s.clock.SinceBoot()-s.proxiesSince >= lenderRetention {
		return s.fleetRecord, s.fleetRecord.WithOnly(present)
	}
	return s.fleetRecord, s.fleetRecord.With(present)
}

// learnFleet adopts the record of the proxies, if it is newer than the known one.
func (s *clusterState) learnFleet(r fleetrecord.Record) {
	s.mutex.Lock()
	newer := r.Revision > s.fleetRecord.Revision
	if newer {
		s.fleetRecord = r
	}
	s.mutex.Unlock()
	if newer {
		s.onChange()
	}
}

// inFleetRecord reports whether the record of the proxies has this one.
func (s *clusterState) inFleetRecord() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.fleetRecord.Holds(s.name)
}

// Lenders returns the addresses, by name, of the other proxies that share the limits of teams:
// those that are recorded, and those that are registered or were so less than lenderRetention
// ago.
func (s *clusterState) Lenders() map[string]string {
	present := s.presentLenders()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	lenders := maps.Clone(s.fleetRecord.Addresses())
	if lenders == nil {
		return present
	}
	delete(lenders, s.name)
	maps.Copy(lenders, present)
	return lenders
}
