// Command platform runs three proxies on loopback with a simulated platform,
// which consists of the store, one database group and the promotion service.
// It writes through one proxy, reads through another, crashes the primary, and
// measures how long writes are interrupted.
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
	proxyCount = 3
	// readyTimeout bounds the start of a proxy.
	readyTimeout = 5 * time.Second
	// changeTimeout bounds the retries of a statement, and thereby the wait for
	// a change of primary.
	changeTimeout = 8 * time.Second
	// database is the name of the database that is routed to the primary.
	database = "primary-0"
)

func main() {
	if err := run(context.Background(), os.Stdout); err != nil {
		log.Fatal(err)
	}
}

// run runs the example and writes its progress to w.
func run(ctx context.Context, w io.Writer) error {
	platform := task.New(ctx)
	defer func() {
		platform.Stop()
		_ = platform.Wait() // an error only results from the stop
	}()
	bed, err := testbed.New(platform, testbed.DefaultPlan())
	if err != nil {
		return err
	}
	nodes, stop, err := start(ctx, bed)
	defer stop()
	if err != nil {
		return err
	}
	printLine := func(format string, arguments ...any) { _, _ = fmt.Fprintf(w, format+"\n", arguments...) }
	printLine("Store at %s; proxies at %s, %s and %s.", bed.StoreAddress, nodes[0].CallerAddress(), nodes[1].CallerAddress(), nodes[2].CallerAddress())
	if _, err := runRetried(ctx, nodes[0].CallerAddress(), "WRITE order-17 Biscuit"); err != nil {
		return err
	}
	rows, err := runRetried(ctx, nodes[1].CallerAddress(), "READ order-17")
	if err != nil {
		return err
	}
	printLine("Written through proxy-0, read through proxy-1: %v", rows)

	primary := bed.Groups[0].Primary()
	primary.SetFault(member.Fault{Down: true})
	crashed := time.Now()
	if _, err := runRetried(ctx, nodes[2].CallerAddress(), "WRITE order-18 Rex"); err != nil {
		return err
	}
	printLine("%s crashed; %s is the new primary, and a write through proxy-2 was acknowledged after %v.",
		primary.ID, bed.Groups[0].Primary().ID, time.Since(crashed).Round(time.Millisecond))
	rows, err = runRetried(ctx, nodes[0].CallerAddress(), "READ order-17")
	printLine("The earlier write is still there: %v", rows)
	return err
}

// start starts the proxies and waits until all are ready. They run until stop
// is called, which must also be done after an error.
func start(ctx context.Context, bed *testbed.Testbed) (nodes []*node.Node, stop func(), err error) {
	runContext, shutDown := context.WithCancel(ctx)
	processes := task.New(ctx)
	stop = func() {
		shutDown()
		_ = processes.Wait() // the proxies shut down gracefully
	}
	for i := range proxyCount {
		s := bed.Settings(fmt.Sprintf("proxy-%d", i))
		n, err := node.New(s, adapter.Dependencies(s))
		if err != nil {
			return nil, stop, err
		}
		nodes = append(nodes, n)
		processes.GoIsolated(s.Name, func(context.Context) { _ = n.Run(runContext) })
		if err := testbed.WaitFor(ctx, readyTimeout, n.Ready); err != nil {
			return nil, stop, errors.WithMessage(err, s.Name)
		}
	}
	return nodes, stop, nil
}

// retryableCodes are the codes that guarantee that the statement has not run,
// so that a client may retry it. BUSY, for example, is returned during a
// change of primary.
var retryableCodes = []string{"BUSY", "LAGGING", "ABORTED"}

// runRetried runs a statement at the proxy with the address and returns the rows.
// It retries the statement while the code is retryable, at most for
// changeTimeout.
func runRetried(ctx context.Context, address, text string) (rows []string, err error) {
	waitErr := testbed.WaitFor(ctx, changeTimeout, func() bool {
		var answer testbed.Answer
		answer, err = runOnce(address, text)
		rows = answer.Rows
		return err != nil || !slices.Contains(retryableCodes, answer.Code)
	})
	if err == nil {
		err = waitErr
	}
	return rows, err
}

// runOnce runs one statement in a new session. An answer with a retryable code is
// returned without an error.
func runOnce(address, text string) (testbed.Answer, error) {
	c, err := testbed.Dial(address, database)
	if err != nil {
		return testbed.Answer{}, err
	}
	defer c.Close()
	answer, err := c.Do(text)
	if err == nil && !answer.OK() && !slices.Contains(retryableCodes, answer.Code) {
		err = errors.Errorf("statement %q failed with code %s", text, answer.Code)
	}
	return answer, err
}
