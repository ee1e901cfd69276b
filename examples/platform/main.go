// Command platform runs three proxies on loopback against the stand-in of the
// users' platform: its store, one database group and promotions. It writes
// through one proxy, reads through another, crashes the primary, and shows
// when writes go on.
package main

import (
	"context"
	"fmt"
	"io"
	"log"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/host/node"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/lab/member"
	"eelgrassladder.example/eelgrassladder/internal/lab/testbed"
	"eelgrassladder.example/eelgrassladder/platform/adapter"
)

const (
	proxies = 3
	// readyTime bounds the start of a proxy, and changeTime the change of a
	// primary.
	readyTime  = 5 * time.Second
	changeTime = 8 * time.Second
	database   = "primary-0"
)

func main() {
	if err := run(context.Background(), os.Stdout); err != nil {
		log.Fatal(err)
	}
}

// run plays the example and writes what happens to w.
func run(ctx context.Context, w io.Writer) error {
	platform := task.New(ctx)
	defer func() {
		platform.Stop()
		_ = platform.Wait() // its parts end with the context
	}()
	e, err := testbed.New(platform, testbed.DefaultPlan())
	if err != nil {
		return err
	}
	nodes, stop, err := start(ctx, e)
	defer stop()
	if err != nil {
		return err
	}
	say := func(format string, a ...any) { _, _ = fmt.Fprintf(w, format+"\n", a...) } // for people
	say("Store at %s; proxies at %s, %s and %s.", e.StoreAddress, nodes[0].Callers(), nodes[1].Callers(), nodes[2].Callers())
	if _, err := do(ctx, nodes[0].Callers(), "WRITE order-17 Biscuit"); err != nil {
		return err
	}
	rows, err := do(ctx, nodes[1].Callers(), "READ order-17")
	if err != nil {
		return err
	}
	say("Written through proxy-0, read through proxy-1: %v", rows)

	primary := e.Groups[0].Primary()
	primary.SetFault(member.Fault{Down: true})
	began := time.Now()
	if _, err := do(ctx, nodes[2].Callers(), "WRITE order-18 Rex"); err != nil {
		return err
	}
	say("%s crashed; %s leads, and a write through proxy-2 was acknowledged after %v.",
		primary.ID, e.Groups[0].Primary().ID, time.Since(began).Round(time.Millisecond))
	rows, err = do(ctx, nodes[0].Callers(), "READ order-17")
	say("What was written before is there: %v", rows)
	return err
}

// start runs the proxies until stop is called, and waits until all are ready.
func start(ctx context.Context, e *testbed.Testbed) (nodes []*node.Node, stop func(), err error) {
	stopping, leave := context.WithCancel(ctx)
	running := task.New(ctx)
	stop = func() {
		leave()
		_ = running.Wait() // the proxies leave gracefully
	}
	for i := range proxies {
		s := e.Settings(fmt.Sprintf("proxy-%d", i))
		n, err := node.New(s, adapter.Parts(s))
		if err != nil {
			return nil, stop, err
		}
		nodes = append(nodes, n)
		running.GoIsolated(s.Name, func(context.Context) { _ = n.Run(stopping) })
		if err := testbed.WaitFor(ctx, readyTime, n.Ready); err != nil {
			return nil, stop, errors.WithMessage(err, s.Name)
		}
	}
	return nodes, stop, nil
}

// promises are the codes that say that nothing has run, so that a client may
// try again. BUSY, for one, is told while a primary is being replaced.
var promises = []string{"BUSY", "LAGGING", "ABORTED"}

// do runs a statement, again as long as it was refused with a promise.
func do(ctx context.Context, address, text string) (rows []string, err error) {
	late := testbed.WaitFor(ctx, changeTime, func() bool {
		var a testbed.Answer
		a, err = once(address, text)
		rows = a.Rows
		return err != nil || !slices.Contains(promises, a.Code)
	})
	if err == nil {
		err = late
	}
	return rows, err
}

// once runs one statement in a session of its own.
func once(address, text string) (testbed.Answer, error) {
	c, err := testbed.Dial(address, database)
	if err != nil {
		return testbed.Answer{}, err
	}
	defer c.Close()
	a, err := c.Do(text)
	if err == nil && !a.OK() && !slices.Contains(promises, a.Code) {
		err = errors.Errorf("%s: %s", text, a.Code)
	}
	return a, err
}
