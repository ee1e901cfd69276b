package experiment

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/gen/sibling"
	"eelgrassladder.example/eelgrassladder/internal/host/fleet"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/group"
	"eelgrassladder.example/eelgrassladder/internal/model/hostlist"
	"eelgrassladder.example/eelgrassladder/internal/model/membership"
	"eelgrassladder.example/eelgrassladder/internal/peer/proxy"
	"eelgrassladder.example/eelgrassladder/internal/policy/ownership"
	"eelgrassladder.example/eelgrassladder/internal/table/configurations"
	"eelgrassladder.example/eelgrassladder/internal/table/proxies"
)

// exchangeOverheadBytes is added for each exchange of heartbeats: the headers of
// TCP and IP on two packets and their acknowledgements, and the RPC frames.
const exchangeOverheadBytes = 300

// dataCentres is the number of data centres over which the proxies are spread.
const dataCentres = 6

// settleTimeout bounds each wait until all proxies agree.
const settleTimeout = 30 * time.Second

// ControlCost is the measured cost of membership, gossip and ownership, per proxy
// unless a field says otherwise.
type ControlCost struct {
	// Proxies is the number of proxies, and Groups that of database groups.
	Proxies int
	Groups  int
	// BytesPerSecond and MessagesPerSecond count what a proxy sends and receives,
	// including the headers of packets.
	BytesPerSecond    float64
	MessagesPerSecond float64
	// CorePercent is the processor time as a percentage of one core.
	CorePercent float64
	// StateBytes is the memory that a proxy uses after a garbage collection.
	StateBytes float64
	// ConfigurationMs is the time until all proxies have a new configuration. LossMs is
	// the time until no other proxy counts a lost proxy as live.
	ConfigurationMs float64
	LossMs          float64
	// OwnersMs is the time in which one proxy finds the owners of all groups after the
	// set of live proxies has changed.
	OwnersMs float64
	// StoreCallsPerSecond is the rate of calls of all proxies together to the
	// platform.
	StoreCallsPerSecond float64
}

// network replaces the connections of the proxies to each other and to the
// platform. It carries heartbeats in memory, encodes and decodes them as a
// connection would, and counts bytes, messages and calls to the platform.
type network struct {
	bytes    atomic.Uint64
	messages atomic.Uint64
	calls    atomic.Uint64
	hostList hostlist.HostList

	// mutex guards the fields below. No other lock is taken while it is held.
	mutex sync.Mutex
	// fleets and disconnected are keyed by the address of the proxy.
	fleets       map[string]*fleet.Fleet
	disconnected map[string]bool
}

// Exchange sends a heartbeat to the proxy at the address and returns its answer. It
// fails if there is no such proxy, or the sender or the receiver is disconnected.
func (n *network) Exchange(_ context.Context, address string, heartbeat proxy.Heartbeat, _ time.Duration) (proxy.Heartbeat, error) {
	n.mutex.Lock()
	target := n.fleets[address]
	disconnected := n.disconnected[address] || n.disconnected[heartbeat.Sender.Address]
	n.mutex.Unlock()
	if target == nil || disconnected {
		return proxy.Heartbeat{}, errors.Errorf("heartbeat from %s to %s: no answer", heartbeat.Sender.Address, address)
	}
	received, err := n.transmit(heartbeat)
	if err != nil {
		return proxy.Heartbeat{}, err
	}
	answer, err := n.transmit(target.HandleHeartbeat(received))
	n.bytes.Add(exchangeOverheadBytes)
	return answer, err
}

// transmit encodes, counts and decodes a heartbeat.
func (n *network) transmit(heartbeat proxy.Heartbeat) (proxy.Heartbeat, error) {
	encoded, err := proto.Marshal(proxy.EncodeHeartbeat(heartbeat))
	if err != nil {
		return proxy.Heartbeat{}, errors.WithStack(err)
	}
	n.bytes.Add(uint64(len(encoded)))
	n.messages.Add(1)
	var message sibling.Beat
	if err := proto.Unmarshal(encoded, &message); err != nil {
		return proxy.Heartbeat{}, errors.WithStack(err)
	}
	return proxy.DecodeHeartbeat(&message), nil
}

// Disconnect does nothing, as there are no connections to close.
func (n *network) Disconnect(string) {}

// Hosts returns a host list of all proxies and groups.
func (n *network) Hosts(context.Context) (hostlist.HostList, error) {
	n.calls.Add(1)
	return n.hostList, nil
}

// Read returns no entry: MeasureControl hands the configurations to a proxy directly.
func (n *network) Read(context.Context, string) (eelgrassladder.Entry, error) {
	n.calls.Add(1)
	return eelgrassladder.Entry{}, nil
}

// Watch waits for the given time and returns no entry, as for a key without changes.
func (n *network) Watch(ctx context.Context, _ string, _ uint64, wait time.Duration) (eelgrassladder.Entry, error) {
	n.calls.Add(1)
	timer.Sleep(ctx, wait)
	return eelgrassladder.Entry{}, ctx.Err()
}

// Swap always fails with a conflict; the measured proxies never call it.
func (n *network) Swap(context.Context, eelgrassladder.Entry, uint64) (eelgrassladder.Entry, error) {
	return eelgrassladder.Entry{}, eelgrassladder.ErrConflict
}

// controlPlane is the measured part of one proxy: its membership, configurations and
// fleet. It has no callers.
type controlPlane struct {
	proxies  *proxies.Table
	versions *configurations.Table
	fleet    *fleet.Fleet
}

// MeasureControl measures the cost of membership, gossip, configuration and ownership
// of many proxies in one process, without callers. length is the time over which the
// cost without changes is measured.
func MeasureControl(ctx context.Context, proxies, groups int, length time.Duration, configuration string) (ControlCost, error) {
	heapBefore := heapBytes()
	g := task.New(ctx)
	defer func() {
		g.Stop()
		_ = g.Wait()
	}()
	clock := timer.New()
	g.Go("timer", clock.Run)
	n, started := startControlPlanes(g, clock, proxies, groups)
	if !waitFor(ctx, func() bool { return allSeeLive(started, proxies) }) {
		return ControlCost{}, errors.Errorf("start %d proxies: not all see each other as live after %v", proxies, settleTimeout)
	}
	started[0].fleet.Adopt(configuration, 1, "trial")
	started[0].fleet.PushChanges()
	if !waitFor(ctx, func() bool { return allAtVersion(started, 1) }) {
		return ControlCost{}, errors.Errorf("spread configuration 1 to %d proxies: not every proxy has it after %v", proxies, settleTimeout)
	}
	timer.Sleep(ctx, 6*time.Second)
	cost := ControlCost{Proxies: proxies, Groups: groups}
	cost.StateBytes = (heapBytes() - heapBefore) / float64(proxies)
	cost.measure(ctx, n, length)
	began := time.Now()
	started[0].fleet.Adopt(configuration, 2, "change")
	started[0].fleet.PushChanges()
	if !waitFor(ctx, func() bool { return allAtVersion(started, 2) }) {
		return cost, errors.Errorf("spread configuration 2 to %d proxies: not every proxy has it after %v", proxies, settleTimeout)
	}
	cost.ConfigurationMs = milliseconds(time.Since(began))
	began = time.Now()
	n.mutex.Lock()
	n.disconnected[started[proxies-1].proxies.Self().Address] = true
	n.mutex.Unlock()
	if !waitFor(ctx, func() bool { return allSeeLive(started[:proxies-1], proxies-1) }) {
		return cost, errors.Errorf("lose one of %d proxies: another proxy still counts it as live after %v", proxies, settleTimeout)
	}
	cost.LossMs = milliseconds(time.Since(began))
	cost.OwnersMs = findOwners(started[0], groups)
	return cost, nil
}

// startControlPlanes starts the control planes of proxies on a network of their own,
// with a host list of all proxies and of groups of three members.
func startControlPlanes(g *task.Group, clock *timer.Service, proxyCount, groups int) (*network, []controlPlane) {
	n := &network{fleets: map[string]*fleet.Fleet{}, disconnected: map[string]bool{}}
	n.hostList.Groups = map[string]group.Group{}
	for i := range groups {
		name := fmt.Sprintf("group-%03d", i)
		for k := range 3 {
			n.hostList = n.hostList.WithEndpoint(name, group.Member{
				Name: fmt.Sprintf("%s-%c", name, 'a'+k), Address: "10.0.0.1:5432", Slots: 2, Connections: 16,
			})
		}
	}
	var started []controlPlane
	for i := range proxyCount {
		self := membership.Proxy{
			Name: fmt.Sprintf("proxy-%03d", i), DataCentre: fmt.Sprintf("centre-%d", i%dataCentres),
			Address: fmt.Sprintf("10.0.%d.%d:7500", i/250, i%250), Incarnation: uint64(time.Now().UnixMicro()),
		}
		n.hostList = n.hostList.WithProxy(self)
		created := controlPlane{proxies: proxies.New(self), versions: configurations.New()}
		created.fleet = fleet.New(clock, n, created.proxies, created.versions, fleet.WithPlatform(n, n))
		n.fleets[self.Address] = created.fleet
		started = append(started, created)
	}
	for _, s := range started {
		s.fleet.Start(g)
	}
	return n, started
}

// measure measures the cost without changes over a time.
func (c *ControlCost) measure(ctx context.Context, n *network, length time.Duration) {
	bytesBefore, messagesBefore, callsBefore, processorBefore := n.bytes.Load(), n.messages.Load(), n.calls.Load(), processorTime()
	began := time.Now()
	timer.Sleep(ctx, length)
	seconds := time.Since(began).Seconds()
	perProxy := seconds * float64(c.Proxies)
	// Each byte and message is sent by one proxy and received by another.
	c.BytesPerSecond = 2 * float64(n.bytes.Load()-bytesBefore) / perProxy
	c.MessagesPerSecond = 2 * float64(n.messages.Load()-messagesBefore) / perProxy
	c.CorePercent = 100 * (processorTime() - processorBefore).Seconds() / perProxy
	c.StoreCallsPerSecond = float64(n.calls.Load()-callsBefore) / seconds
}

// allSeeLive reports whether every proxy sees exactly the given number of live proxies.
func allSeeLive(proxies []controlPlane, liveCount int) bool {
	for _, p := range proxies {
		view, _ := p.proxies.View()
		if len(view.Live()) != liveCount {
			return false
		}
	}
	return true
}

// allAtVersion reports whether every proxy has the version or a newer one.
func allAtVersion(proxies []controlPlane, version uint64) bool {
	for _, p := range proxies {
		if p.versions.Current().Version < version {
			return false
		}
	}
	return true
}

// findOwners returns the time in which a proxy finds the owners of all groups, in
// milliseconds.
func findOwners(p controlPlane, groups int) float64 {
	view, _ := p.proxies.View()
	var f ownership.Finder
	began := time.Now()
	for i := range groups {
		f.Owner(view, fmt.Sprintf("group-%03d", i))
	}
	return milliseconds(time.Since(began))
}

// waitFor waits until the condition holds and reports whether it did before
// settleTimeout and the end of ctx.
func waitFor(ctx context.Context, condition func() bool) bool {
	for end := time.Now().Add(settleTimeout); time.Now().Before(end) && ctx.Err() == nil; {
		if condition() {
			return true
		}
		timer.Sleep(ctx, 10*time.Millisecond)
	}
	return false
}

// heapBytes returns the bytes of heap and stacks in use after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// processorTime returns the processor time that this process has used, or zero if it
// can't be read.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Line is a straight line fitted to measurements: y = Intercept + Slope * x.
type Line struct {
	Intercept float64
	Slope     float64
	// Residual is the largest vertical distance of a measurement from the line.
	Residual float64
}

// fitLine fits a line by least squares. The slope is zero if all x are equal.
func fitLine(x, y []float64) Line {
	n := float64(len(x))
	var sumX, sumY, sumXX, sumXY float64
	for i := range x {
		sumX += x[i]
		sumY += y[i]
		sumXX += x[i] * x[i]
		sumXY += x[i] * y[i]
	}
	var line Line
	if denominator := n*sumXX - sumX*sumX; denominator != 0 {
		line.Slope = (n*sumXY - sumX*sumY) / denominator
	}
	line.Intercept = (sumY - line.Slope*sumX) / n
	for i := range x {
		line.Residual = max(line.Residual, max(y[i]-line.Intercept-line.Slope*x[i], line.Intercept+line.Slope*x[i]-y[i]))
	}
	return line
}

// WriteControl writes a table of measurements, and the lines that are fitted to four of
// their columns as functions of the number of proxies.
func WriteControl(w io.Writer, results []ControlCost) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "Nodes\tGroups\tBytes/s\tMessages/s\tCore%\tStateKB\tConfigurationMs\tLossMs\tOwnersMs\tStoreCalls/s")
	var proxies []float64
	columns := map[string][]float64{}
	for _, c := range results {
		fmt.Fprintf(table, "%d\t%d\t%.0f\t%.1f\t%.3f\t%.0f\t%.0f\t%.0f\t%.2f\t%.1f\n", c.Proxies, c.Groups, c.BytesPerSecond,
			c.MessagesPerSecond, c.CorePercent, c.StateBytes/1024, c.ConfigurationMs, c.LossMs, c.OwnersMs, c.StoreCallsPerSecond)
		proxies = append(proxies, float64(c.Proxies))
		columns["Bytes/s"] = append(columns["Bytes/s"], c.BytesPerSecond)
		columns["Core%"] = append(columns["Core%"], c.CorePercent)
		columns["StateKB"] = append(columns["StateKB"], c.StateBytes/1024)
		columns["StoreCalls/s"] = append(columns["StoreCalls/s"], c.StoreCallsPerSecond)
	}
	if err := table.Flush(); err != nil {
		return errors.WithStack(err)
	}
	for _, name := range []string{"Bytes/s", "Core%", "StateKB", "StoreCalls/s"} {
		line := fitLine(proxies, columns[name])
		if _, err := fmt.Fprintf(w, "%s = %.4g + %.4g x Nodes, largest residual %.3g\n", name, line.Intercept, line.Slope, line.Residual); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}
