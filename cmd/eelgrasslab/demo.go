package main

import (
	"fmt"
	"os"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/host/command"
	"eelgrassladder.example/eelgrassladder/internal/lab/experiment"
	"eelgrassladder.example/eelgrassladder/internal/lab/group"
	"eelgrassladder.example/eelgrassladder/internal/lab/load"
	"eelgrassladder.example/eelgrassladder/internal/lab/workload"
)

// The parameters of the demonstration. Rates are in requests per second.
const (
	demoSeconds       = 6
	demoRate          = 200
	demoSessions      = 60
	demoFaultAt       = 2 * time.Second
	demoFaultDuration = 2 * time.Second
)

// demoCommand demonstrates the system with a failover.
type demoCommand struct {
	Verbose bool `long:"verbose" description:"Log to standard error"`
}

// Execute starts three simulated groups and five proxies, offers the Magnolia
// workload, crashes a primary while it runs, and prints what the callers
// observed. It fails if there are violations.
func (c *demoCommand) Execute([]string) error {
	if err := startLog(c.Verbose); err != nil {
		return err
	}
	ctx, cancel := command.SignalContext()
	defer cancel()
	w := workload.Magnolia()
	fmt.Printf("Three database groups, five proxies, %d s of work; the primary of %s crashes after %v.\n",
		demoSeconds, w.Groups[0], demoFaultAt)
	report, err := experiment.Run(ctx, experiment.Trial{
		Plan: load.Plan{
			Workload: w, Seconds: demoSeconds, Seed: 1, PayingRate: demoRate, FreeRate: demoRate,
			Sessions: demoSessions, NamedShare: 0.3, ProbeGroup: w.Groups[0],
		},
		Proxies: 5,
		Conditions: group.Conditions{
			ServiceTime: 3 * time.Millisecond, ConnectTime: w.ConnectTime, ReceiveDelay: w.DataCentreLatency, ApplyDelay: 50 * time.Millisecond,
		},
		Faults: []experiment.Fault{{At: demoFaultAt, Duration: demoFaultDuration, Kind: experiment.Crash}},
	})
	if err != nil {
		return err
	}
	if err := printReport(report, false); err != nil {
		return err
	}
	_, err = fmt.Fprintln(os.Stdout, "No violations.")
	return err
}
