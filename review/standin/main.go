// Command standin plays the cases of the review that are scripts. It simulates the
// platform, its members and clients on loopback, and starts the project's own proxies as
// processes. It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could
// not run.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/lab/testbed"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime ends a case that hangs, before the 120 s that a script may take.
const maxRunTime = 110 * time.Second

// scenario plays one case and reports whether the rule was broken.
type scenario func(ctx context.Context, r *run) (broken bool, err error)

var scenarios = map[string]scenario{"restart-empty": restartEmpty, "line-feed": lineFeed}

// run is one play of a case.
type run struct {
	// record receives what was sent, answered and run.
	record *record
	// trouble is false for a play without the disruption.
	trouble bool
	// tasks runs the goroutines of the stand-ins.
	tasks *task.Group
	bed   *testbed.Testbed
	// folder is a temporary folder for settings and logs.
	folder string
}

func main() { os.Exit(play()) }

// play runs the case that the first argument names. The second one is the file of the record.
func play() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin restart-empty|line-feed RECORD")
		return exitNotRun
	}
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		record.add("could not run: %v", err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(folder) }()
	ctx, cancel := context.WithTimeout(context.Background(), maxRunTime)
	defer cancel()
	tasks := task.New(ctx)
	r := &run{record: record, trouble: os.Getenv("TROUBLE") != "0", tasks: tasks, folder: folder}
	record.add("case %s, trouble %v", os.Args[1], r.trouble)
	broken, err := scenarios[os.Args[1]](ctx, r)
	cancel()
	_ = tasks.WaitStopped(time.Second) // a commit that waits for a replica may not end with the context
	switch {
	case err != nil:
		record.add("could not run: %v", err)
		return exitNotRun
	case broken:
		record.add("the rule was broken")
		return exitBroken
	default:
		record.add("the rule held")
		return exitHeld
	}
}
