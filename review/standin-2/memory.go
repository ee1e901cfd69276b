package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/lab/member"
	"eelgrassladder.example/eelgrassladder/internal/lab/testbed"
)

const (
	// memoryProxies is the number of proxies, and memoryEnds how often each of two has to end
	// by itself for the rule to be broken.
	memoryProxies = 2
	memoryEnds    = 3
	// memoryPlayTime is how long the clients act.
	memoryPlayTime = 95 * time.Second
	// preparingAtOnce is how many clients of one proxy prepare statements at the same time.
	preparingAtOnce = 4
	// preparedStatements is how many statements a client prepares and deallocates: in trouble
	// all of them before it deallocates the first, and otherwise calmStatements at a time.
	preparedStatements = 13000
	calmStatements     = 10
	// maxClients is the number of clients of one proxy: a tenth of its descriptors.
	maxClients = 420
	// memoryInterval is how often the platform looks at the memory of the processes.
	memoryInterval = 100 * time.Millisecond
)

// playMemory has clients prepare many small statements and deallocate them, and then rest. The
// platform kills a process above the memory of its host and starts it again. The rule is broken
// if two processes end by themselves three times each.
func playMemory(d *deployment) (bool, error) {
	if err := d.start(testbed.DefaultPlan()); err != nil {
		return false, err
	}
	for _, g := range d.bed.Groups {
		g.OnRun = func(r member.Run) { d.write("%s runs %s %s", r.Member, r.ID, r.Text) }
	}
	var proxies []*proxy
	for i := range memoryProxies {
		p, err := d.addProxy(fmt.Sprintf("front-%d", i+1), fmt.Sprintf("zone-%d", i), nil)
		if err != nil {
			return false, err
		}
		proxies = append(proxies, p)
	}
	ctx, cancel := context.WithTimeout(d.tasks.Context(), memoryPlayTime)
	defer cancel()
	var playing sync.WaitGroup
	ends := make([]int, len(proxies))
	for i, p := range proxies {
		playing.Add(1)
		rested := &atomic.Int64{}
		d.tasks.GoIsolated("host", func(context.Context) {
			defer playing.Done()
			ends[i] = watchMemory(ctx, d, p, rested)
		})
		d.tasks.GoIsolated("clients", func(context.Context) { playPreparers(ctx, d, p, rested) })
		d.tasks.GoIsolated("ordinary client", func(context.Context) { playOrdinary(ctx, d, p) })
	}
	for ctx.Err() == nil && !allReached(ends, memoryEnds) {
		d.pause(memoryInterval)
	}
	cancel()
	playing.Wait()
	d.note("ends of processes: %v", ends)
	return allReached(ends, memoryEnds), nil
}

// allReached reports whether all counts are at least n.
func allReached(counts []int, n int) bool {
	for _, c := range counts {
		if c < n {
			return false
		}
	}
	return true
}

// watchMemory kills the process when its memory is above that of its host, and returns how
// often it did once ctx ends, or after memoryEnds. Rested counts the clients that have acted
// since the process started.
func watchMemory(ctx context.Context, d *deployment, p *proxy, rested *atomic.Int64) int {
	ends, peak, noted := 0, 0, time.Now()
	for ctx.Err() == nil && ends < memoryEnds {
		d.pause(memoryInterval)
		m := p.residentMegabytes()
		peak = max(peak, m)
		if time.Since(noted) > 5*time.Second {
			noted = time.Now()
			d.note("%s uses %d MB, %d at most; %d clients have acted", p.settings.Name, m, peak, rested.Load())
		}
		if m <= p.settings.MemoryMegabytes {
			continue
		}
		d.note("%s uses %d of %d MB after %d clients and is killed", p.settings.Name, m, p.settings.MemoryMegabytes, rested.Swap(0))
		p.signal(syscall.SIGKILL)
		ends++
		d.pause(2 * restartDelay)
	}
	return ends
}

// playPreparers runs clients one after another, preparingAtOnce at a time, until ctx ends. Each
// stays connected when it has acted. When maxClients are there, the first ones leave.
func playPreparers(ctx context.Context, d *deployment, p *proxy, rested *atomic.Int64) {
	var mutex sync.Mutex
	var resting []net.Conn
	slots := make(chan struct{}, preparingAtOnce)
	for ctx.Err() == nil {
		slots <- struct{}{}
		d.tasks.GoIsolated("client", func(context.Context) {
			defer func() { <-slots }()
			conn, err := prepareAndRest(ctx, d, p)
			if err != nil {
				d.write("a client at %s ended: %v", p.settings.Name, err)
				d.pause(restartDelay)
				return
			}
			d.write("a client at %s sent %d PREPARE and as many DEALLOC, all of which were answered with COMPLETE", p.settings.Name, preparedStatements)
			rested.Add(1)
			mutex.Lock()
			defer mutex.Unlock()
			if resting = append(resting, conn); len(resting) > maxClients {
				_ = resting[0].Close()
				resting = resting[1:]
			}
		})
	}
	mutex.Lock()
	defer mutex.Unlock()
	for _, c := range resting {
		_ = c.Close()
	}
}

// prepareAndRest opens a session, prepares statements, deallocates all of them, and returns the
// connection, on which nothing is outstanding.
func prepareAndRest(ctx context.Context, d *deployment, p *proxy) (net.Conn, error) {
	atOnce := calmStatements
	if d.trouble {
		atOnce = preparedStatements
	}
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp4", p.settings.Callers)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	reader := bufio.NewReaderSize(conn, 1<<16)
	if err := converse(conn, reader, "CONNECT primary-0 crowd\r\n", 1); err != nil {
		_ = conn.Close()
		return nil, err
	}
	var b strings.Builder
	for i := 0; i < preparedStatements; i += atOnce {
		for _, format := range []string{"QUERY q PREPARE %x READ s\r\n", "QUERY q DEALLOC %x\r\n"} {
			for j := range atOnce {
				_, _ = fmt.Fprintf(&b, format, i+j)
			}
		}
	}
	if err := converse(conn, reader, b.String(), 2*preparedStatements); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// converse sends messages and reads their answers, each of which ends with READY, at the same
// time.
func converse(conn net.Conn, reader *bufio.Reader, messages string, answers int) error {
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		return errors.WithStack(err)
	}
	var sending sync.WaitGroup
	sending.Go(func() { _, _ = conn.Write([]byte(messages)) }) // the reader notices an error
	defer sending.Wait()
	for answers > 0 {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return errors.WithStack(err)
		}
		switch {
		case strings.HasPrefix(string(line), "READY"):
			answers--
		case strings.HasPrefix(string(line), "ERROR"):
			return errors.Errorf("answer %q", line)
		}
	}
	return nil
}

// playOrdinary writes and reads an item twice a second in a session of its own.
func playOrdinary(ctx context.Context, d *deployment, p *proxy) {
	for ctx.Err() == nil {
		d.pause(500 * time.Millisecond)
		c, err := testbed.Dial(p.settings.Callers, "primary-0")
		if err != nil {
			d.write("the ordinary client could not open a session at %s: %v", p.settings.Name, err)
			continue
		}
		for _, text := range []string{"WRITE item value", "READ item"} {
			answer, err := c.Do(text)
			d.write("the ordinary client at %s sent %s %s; answer %q, error %v", p.settings.Name, answer.ID, text, answer.Code, err)
		}
		c.Close()
	}
}
