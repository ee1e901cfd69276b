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

// Overhead is the measured cost of one path to a member for a number of callers.
type Overhead struct {
	// Path is Direct for connections to the member itself, Owner for those through
	// the proxy that owns the group, or Entry for those through another proxy.
	Path    string
	Callers int
	P50Us   float64
	P99Us   float64
	// PerSecond is the number of statements a second.
	PerSecond float64
	// ProcessorUs is the processor time of the whole process for each statement:
	// of callers, proxies and members together.
	ProcessorUs float64
}

// The limits of the member that MeasureOverhead measures.
const (
	overheadSlots       = 64
	overheadConnections = 200
)

// paths lists the values of Overhead.Path in the order of measurement.
var paths = []string{"Direct", "Owner", "Entry"}

// MeasureOverhead measures reads of one row for each number of callers on each path. The
// measurements run one after another, each for the given length of time.
func MeasureOverhead(ctx context.Context, callers []int, length time.Duration) ([]Overhead, error) {
	w := workload.Magnolia()
	w.Groups = w.Groups[:1]
	w.Slots, w.Connections = overheadSlots, overheadConnections
	cl, err := cluster.Start(ctx, cluster.Plan{Workload: w, Proxies: 2, Conditions: group.Conditions{ConnectTime: w.ConnectTime}})
	if err != nil {
		return nil, err
	}
	defer cl.Stop()
	owner := cl.Owner(w.Groups[0])
	urls := map[string]string{
		"Direct": fmt.Sprintf("postgres://lab@%s/%s?sslmode=disable", cl.Groups[0].HostListEntries()[0].Address, w.Groups[0]),
		"Owner":  callerURL(w, cl.Proxies[owner].Service.Addresses().Postgres),
		"Entry":  callerURL(w, cl.Proxies[1-owner].Service.Addresses().Postgres),
	}
	if err := createRow(ctx, urls["Owner"]); err != nil {
		return nil, err
	}
	var results []Overhead
	for _, n := range callers {
		for _, path := range paths {
			result, err := measurePath(ctx, urls[path], n, length)
			if err != nil {
				return nil, errors.WithMessage(err, path)
			}
			result.Path = path
			results = append(results, result)
		}
	}
	return results, nil
}

// callerURL returns the connection URL of a caller whose reads go to the primary.
func callerURL(w workload.Workload, address string) string {
	c := w.Paying[0]
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable&eelgrassladder.class=%s", c.Caller, c.Password, address, w.Groups[0], c.Class)
}

// createRow creates a table with one row.
func createRow(ctx context.Context, url string) error {
	c, err := pgx.Connect(ctx, url)
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

// measurePath measures the reads of a number of callers, each of which sends its next
// read as soon as it has an answer.
func measurePath(ctx context.Context, url string, callers int, length time.Duration) (Overhead, error) {
	var connections []*pgx.Conn
	for range callers {
		c, err := pgx.Connect(ctx, url)
		if err != nil {
			return Overhead{}, errors.WithStack(err)
		}
		defer func() { _ = c.Close(context.Background()) }()
		connections = append(connections, c)
	}
	times := newLatencies()
	var completed atomic.Int64
	processorBefore, began := processorTime(), time.Now()
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
				completed.Add(1)
			}
			return nil
		})
	}
	err := g.Wait()
	statements := float64(completed.Load())
	return Overhead{
		Callers: callers, P50Us: times.percentile(50), P99Us: times.percentile(99),
		PerSecond:   statements / time.Since(began).Seconds(),
		ProcessorUs: float64((processorTime() - processorBefore).Microseconds()) / statements,
	}, err
}

// WriteOverhead writes a table of measurements with their ratios to the direct
// path.
func WriteOverhead(w io.Writer, results []Overhead) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "Callers\tPath\tP50Us\tP99Us\tPerSecond\tProcessorUs\tP50 ratio\tRate ratio\tAdded ProcessorUs")
	var direct Overhead
	for _, o := range results {
		if o.Path == "Direct" {
			direct = o
		}
		fmt.Fprintf(table, "%d\t%s\t%.0f\t%.0f\t%.0f\t%.1f\t%.2f\t%.2f\t%.1f\n", o.Callers, o.Path, o.P50Us, o.P99Us, o.PerSecond,
			o.ProcessorUs, o.P50Us/direct.P50Us, o.PerSecond/direct.PerSecond, o.ProcessorUs-direct.ProcessorUs)
	}
	return errors.WithStack(table.Flush())
}

// IdleCost is the measured cost of connected callers that send nothing.
type IdleCost struct {
	Connections int
	// BytesEach is the memory of the process for each connection, including the
	// caller's own end.
	BytesEach float64
	// CorePercent is the processor time of the whole process as a percentage of
	// one core.
	CorePercent float64
}

// MeasureIdle measures the cost of callers that are connected to one proxy and idle.
func MeasureIdle(ctx context.Context, connections int) (IdleCost, error) {
	w := workload.Magnolia()
	w.Groups = w.Groups[:1]
	cl, err := cluster.Start(ctx, cluster.Plan{Workload: w, Proxies: 1, Conditions: group.Conditions{}})
	if err != nil {
		return IdleCost{}, err
	}
	defer cl.Stop()
	heapBefore := heapBytes()
	opened, err := openConnections(ctx, callerURL(w, cl.Addresses()[0]), connections)
	defer func() {
		for _, c := range opened {
			_ = c.Close()
		}
	}()
	if err != nil {
		return IdleCost{}, err
	}
	timer.Sleep(ctx, time.Second)
	heapAfter := heapBytes()
	processorBefore := processorTime()
	timer.Sleep(ctx, 5*time.Second)
	return IdleCost{
		Connections: connections,
		BytesEach:   (heapAfter - heapBefore) / float64(connections),
		CorePercent: 100 * (processorTime() - processorBefore).Seconds() / 5,
	}, nil
}

// ProbeCost is the measured traffic between the owner of a group and its members on
// control connections.
type ProbeCost struct {
	// IdleBytes is the bytes a second in both directions for each group without work.
	IdleBytes float64
	// WriteBytes is the additional bytes for each write.
	WriteBytes float64
}

// MeasureProbe measures the control traffic of idle groups for a length of time, and
// then that of one group with writes for the same length.
func MeasureProbe(ctx context.Context, length time.Duration) (ProbeCost, error) {
	w := workload.Magnolia()
	cl, err := cluster.Start(ctx, cluster.Plan{Workload: w, Proxies: 1, Conditions: group.Conditions{ReceiveDelay: w.DataCentreLatency}})
	if err != nil {
		return ProbeCost{}, err
	}
	defer cl.Stop()
	url := callerURL(w, cl.Addresses()[0])
	if err := createRow(ctx, url); err != nil {
		return ProbeCost{}, err
	}
	timer.Sleep(ctx, time.Second)
	bytesBefore := controlBytes(cl)
	timer.Sleep(ctx, length)
	idleBytesPerSecond := float64(controlBytes(cl)-bytesBefore) / length.Seconds()
	c, err := pgx.Connect(ctx, url)
	if err != nil {
		return ProbeCost{}, errors.WithStack(err)
	}
	defer func() { _ = c.Close(ctx) }()
	bytesBefore = controlBytes(cl)
	began := time.Now()
	writes := 0
	for time.Since(began) < length {
		writes++
		if _, err := c.Exec(ctx, "UPDATE proofs SET label = 'proof' WHERE id = 1"); err != nil {
			return ProbeCost{}, errors.WithStack(err)
		}
		timer.Sleep(ctx, 10*time.Millisecond)
	}
	writeBytes := float64(controlBytes(cl)-bytesBefore) - idleBytesPerSecond*time.Since(began).Seconds()
	return ProbeCost{IdleBytes: idleBytesPerSecond / float64(len(cl.Groups)), WriteBytes: writeBytes / float64(writes)}, nil
}

// controlBytes returns the bytes that the control connections of all members have
// carried.
func controlBytes(cl *cluster.Cluster) uint64 {
	var sum uint64
	for _, g := range cl.Groups {
		for _, m := range g.Members() {
			sum += m.ControlBytes()
		}
	}
	return sum
}

// openConnections opens connections, a few at a time. If it fails, it also returns those
// that it has opened.
func openConnections(ctx context.Context, url string, connections int) ([]net.Conn, error) {
	const openers = 8
	connected := make(chan net.Conn, connections)
	g := task.New(ctx)
	var next atomic.Int64
	for range openers {
		g.Go("opener", func(ctx context.Context) error {
			for next.Add(1) <= int64(connections) {
				c, err := pgconn.Connect(ctx, strings.Replace(url, "?", "?connect_timeout=10&", 1))
				if err != nil {
					return errors.WithStack(err)
				}
				hijacked, err := c.Hijack()
				if err != nil {
					return errors.WithStack(err)
				}
				connected <- hijacked.Conn
			}
			return nil
		})
	}
	err := g.Wait()
	close(connected)
	var opened []net.Conn
	for c := range connected {
		opened = append(opened, c)
	}
	return opened, err
}
