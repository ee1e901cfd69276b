package experiment

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/lab/cluster"
	"eelgrassladder.example/eelgrassladder/internal/lab/group"
	"eelgrassladder.example/eelgrassladder/internal/lab/workload"
)

// Overhead compares the ways to a member, for one number of callers.
type Overhead struct {
	// Way is Direct to the member, Owner through the proxy that owns the
	// group, or Entry through another proxy.
	Way     string
	Callers int
	P50Us   float64
	P99Us   float64
	// PerSecond is statements a second.
	PerSecond float64
	// ProcessorUs is the processor time of this whole process for each
	// statement: caller, proxies and member.
	ProcessorUs float64
}

// The size of an overhead trial.
const (
	overheadSlots       = 64
	overheadConnections = 200
)

// ways are measured in this order.
var ways = []string{"Direct", "Owner", "Entry"}

// MeasureOverhead measures reads of one row on each way with so many callers, one
// after another in one run.
func MeasureOverhead(ctx context.Context, callers []int, length time.Duration) ([]Overhead, error) {
	w := workload.Magnolia()
	w.Groups = w.Groups[:1]
	w.Slots, w.Connections = overheadSlots, overheadConnections
	s, err := cluster.Start(ctx, cluster.Plan{Workload: w, Proxies: 2, Conditions: group.Conditions{ConnectTime: w.ConnectTime}})
	if err != nil {
		return nil, err
	}
	defer s.Stop()
	owner := s.Owner(w.Groups[0])
	targets := map[string]string{
		"Direct": fmt.Sprintf("postgres://lab@%s/%s?sslmode=disable", s.Groups[0].HostListEntries()[0].Address, w.Groups[0]),
		"Owner":  callerURL(w, s.Proxies[owner].Service.Addresses().Postgres),
		"Entry":  callerURL(w, s.Proxies[1-owner].Service.Addresses().Postgres),
	}
	if err := fill(ctx, targets["Owner"]); err != nil {
		return nil, err
	}
	var all []Overhead
	for _, n := range callers {
		for _, way := range ways {
			one, err := measureWay(ctx, targets[way], n, length)
			if err != nil {
				return nil, errors.WithMessage(err, way)
			}
			one.Way = way
			all = append(all, one)
		}
	}
	return all, nil
}

// callerURL is the URL of a caller whose reads go to the primary.
func callerURL(w workload.Workload, address string) string {
	c := w.Paying[0]
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable&eelgrassladder.class=%s", c.Caller, c.Password, address, w.Groups[0], c.Class)
}

// fill makes the row that is read.
func fill(ctx context.Context, target string) error {
	c, err := pgx.Connect(ctx, target)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = c.Close(ctx) }()
	for _, text := range []string{"CREATE TABLE proofs (id bigint, label text)", "INSERT INTO proofs (id, label) VALUES (1, 'sketch')"} {
		if _, err := c.Exec(ctx, text); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

// measureWay reads as fast as so many callers can.
func measureWay(ctx context.Context, target string, callers int, length time.Duration) (Overhead, error) {
	var connections []*pgx.Conn
	for range callers {
		c, err := pgx.Connect(ctx, target)
		if err != nil {
			return Overhead{}, errors.WithStack(err)
		}
		defer func() { _ = c.Close(context.Background()) }()
		connections = append(connections, c)
	}
	times := newTimes()
	var count atomic.Int64
	used, began := processorTime(), time.Now()
	g := task.New(ctx)
	for _, c := range connections {
		g.Go("caller", func(ctx context.Context) error {
			for time.Since(began) < length {
				start := time.Now()
				var label string
				if err := c.QueryRow(ctx, "SELECT label FROM proofs WHERE id = $1", int64(1)).Scan(&label); err != nil {
					return errors.WithStack(err)
				}
				times.add(time.Since(start))
				count.Add(1)
			}
			return nil
		})
	}
	err := g.Wait()
	n := float64(count.Load())
	return Overhead{
		Callers: callers, P50Us: times.quantile(50), P99Us: times.quantile(99),
		PerSecond:   n / time.Since(began).Seconds(),
		ProcessorUs: float64((processorTime() - used).Microseconds()) / n,
	}, err
}

// WriteOverhead prints the ways and their ratios to the direct one.
func WriteOverhead(w io.Writer, all []Overhead) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "Callers\tWay\tP50Us\tP99Us\tPerSecond\tProcessorUs\tP50 ratio\tRate ratio\tAdded ProcessorUs")
	var direct Overhead
	for _, o := range all {
		if o.Way == "Direct" {
			direct = o
		}
		fmt.Fprintf(t, "%d\t%s\t%.0f\t%.0f\t%.0f\t%.1f\t%.2f\t%.2f\t%.1f\n", o.Callers, o.Way, o.P50Us, o.P99Us, o.PerSecond,
			o.ProcessorUs, o.P50Us/direct.P50Us, o.PerSecond/direct.PerSecond, o.ProcessorUs-direct.ProcessorUs)
	}
	return errors.WithStack(t.Flush())
}

// IdleCost is what connected callers cost a proxy while they ask nothing.
type IdleCost struct {
	Connections int
	// BytesEach is the memory of this process for each connection, the
	// caller's own end included.
	BytesEach float64
	// CorePercent is the processor use of the whole process while idle.
	CorePercent float64
}

// MeasureIdle connects many callers to one proxy and leaves them idle.
func MeasureIdle(ctx context.Context, connections int) (IdleCost, error) {
	w := workload.Magnolia()
	w.Groups = w.Groups[:1]
	s, err := cluster.Start(ctx, cluster.Plan{Workload: w, Proxies: 1, Conditions: group.Conditions{}})
	if err != nil {
		return IdleCost{}, err
	}
	defer s.Stop()
	before := heap()
	held, err := openIdle(ctx, callerURL(w, s.Addresses()[0]), connections)
	defer func() {
		for _, c := range held {
			_ = c.Close()
		}
	}()
	if err != nil {
		return IdleCost{}, err
	}
	timer.Sleep(ctx, time.Second)
	after := heap()
	used := processorTime()
	timer.Sleep(ctx, 5*time.Second)
	return IdleCost{
		Connections: connections,
		BytesEach:   (after - before) / float64(connections),
		CorePercent: 100 * (processorTime() - used).Seconds() / 5,
	}, nil
}

// ProbeCost is what the owner of a group spends on watching its members.
type ProbeCost struct {
	// IdleBytes is bytes a second for each group without work, both ways.
	IdleBytes float64
	// WriteBytes is bytes for each write beyond that.
	WriteBytes float64
}

// MeasureProbe measures the probes of idle groups, and of one with writes.
func MeasureProbe(ctx context.Context, length time.Duration) (ProbeCost, error) {
	w := workload.Magnolia()
	s, err := cluster.Start(ctx, cluster.Plan{Workload: w, Proxies: 1, Conditions: group.Conditions{ReceiveDelay: w.DataCentreLatency}})
	if err != nil {
		return ProbeCost{}, err
	}
	defer s.Stop()
	target := callerURL(w, s.Addresses()[0])
	if err := fill(ctx, target); err != nil {
		return ProbeCost{}, err
	}
	timer.Sleep(ctx, time.Second)
	before := controlBytes(s)
	timer.Sleep(ctx, length)
	idle := float64(controlBytes(s)-before) / length.Seconds()
	c, err := pgx.Connect(ctx, target)
	if err != nil {
		return ProbeCost{}, errors.WithStack(err)
	}
	defer func() { _ = c.Close(ctx) }()
	before = controlBytes(s)
	began := time.Now()
	writes := 0
	for time.Since(began) < length {
		writes++
		if _, err := c.Exec(ctx, "UPDATE proofs SET label = 'proof' WHERE id = 1"); err != nil {
			return ProbeCost{}, errors.WithStack(err)
		}
		timer.Sleep(ctx, 10*time.Millisecond)
	}
	spent := float64(controlBytes(s)-before) - idle*time.Since(began).Seconds()
	return ProbeCost{IdleBytes: idle / float64(len(s.Groups)), WriteBytes: spent / float64(writes)}, nil
}

// controlBytes adds what the control connections of all members have carried.
func controlBytes(s *cluster.Cluster) uint64 {
	var sum uint64
	for _, g := range s.Groups {
		for _, m := range g.Members() {
			sum += m.ControlBytes()
		}
	}
	return sum
}

// openIdle opens connections, a few at a time.
func openIdle(ctx context.Context, target string, connections int) ([]net.Conn, error) {
	const openers = 8
	results := make(chan net.Conn, connections)
	g := task.New(ctx)
	var next atomic.Int64
	for range openers {
		g.Go("opener", func(ctx context.Context) error {
			for next.Add(1) <= int64(connections) {
				c, err := pgconn.Connect(ctx, strings.Replace(target, "?", "?connect_timeout=10&", 1))
				if err != nil {
					return errors.WithStack(err)
				}
				taken, err := c.Hijack()
				if err != nil {
					return errors.WithStack(err)
				}
				results <- taken.Conn
			}
			return nil
		})
	}
	err := g.Wait()
	close(results)
	var held []net.Conn
	for c := range results {
		held = append(held, c)
	}
	return held, err
}
