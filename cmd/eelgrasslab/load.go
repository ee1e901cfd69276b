package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/host/command"
	"eelgrassladder.example/eelgrassladder/internal/host/logging"
	"eelgrassladder.example/eelgrassladder/internal/lab/experiment"
	"eelgrassladder.example/eelgrassladder/internal/lab/group"
	"eelgrassladder.example/eelgrassladder/internal/lab/load"
	"eelgrassladder.example/eelgrassladder/internal/lab/workload"
)

// The limits of a load, in seconds and in paying and free requests per second
// together.
const (
	maxSeconds = 600
	maxRate    = 20000
)

// faultDuration is how long a fault given by --fault lasts.
const faultDuration = 4 * time.Second

// loadCommand offers a workload to proxies.
type loadCommand struct {
	Workload   string        `long:"workload" choice:"magnolia" choice:"homokforma" default:"magnolia" description:"Workload to offer"`
	Seconds    float64       `long:"seconds" default:"20" description:"Seconds during which requests are started"`
	Seed       uint64        `long:"seed" default:"1" description:"Seed of arrivals and faults"`
	PayingRate float64       `long:"paying-rate" default:"300" description:"Paying requests a second over all groups"`
	FreeRate   float64       `long:"free-rate" default:"300" description:"Free requests a second over all groups"`
	Sessions   int           `long:"sessions" default:"200" description:"Sessions in each group"`
	Proxies    int           `long:"proxies" default:"5" description:"Proxies"`
	Service    time.Duration `long:"service" default:"4ms" description:"Time that a statement holds a slot"`
	Lag        time.Duration `long:"lag" default:"50ms" description:"Time from the receipt of a log entry at a replica until reads there see it"`
	Receive    time.Duration `long:"receive" default:"500us" description:"Time that log entries take from the primary to a replica"`
	Fault      []string      `long:"fault" description:"A fault that begins after a third of the load: crash, pause, isolate, lose-answers, lose-commands, lag, far, store-down, store-slow, kill-proxy, kill-owner, roll or leave; repeat for more"`
	Baseline   bool          `long:"baseline" description:"Serve in order of arrival, and read from primaries only"`
	JSON       bool          `long:"json" description:"Print JSON"`
	Verbose    bool          `long:"verbose" description:"Log to standard error"`
}

// Execute runs the load and prints its report. It fails if there are
// violations.
func (c *loadCommand) Execute([]string) error {
	ctx, cancel := command.SignalContext()
	defer cancel()
	report, err := c.run(ctx)
	if err != nil {
		return err
	}
	return printReport(report, c.JSON)
}

// run checks the flags and runs the load.
func (c *loadCommand) run(ctx context.Context) (load.Report, error) {
	if err := startLog(c.Verbose); err != nil {
		return load.Report{}, err
	}
	w, ok := workload.ByName(c.Workload)
	if !ok || c.Seconds > maxSeconds || c.PayingRate+c.FreeRate > maxRate {
		return load.Report{}, errors.Errorf("a load of %g seconds and %g requests a second exceeds %d seconds or %d requests a second",
			c.Seconds, c.PayingRate+c.FreeRate, maxSeconds, maxRate)
	}
	t := experiment.Trial{
		Plan: load.Plan{
			Workload: w, Seconds: c.Seconds, Seed: c.Seed, PayingRate: c.PayingRate, FreeRate: c.FreeRate,
			Sessions: c.Sessions, NamedShare: 0.3,
		},
		Proxies:    c.Proxies,
		Conditions: group.Conditions{ServiceTime: c.Service, ConnectTime: w.ConnectTime, ReceiveDelay: c.Receive, ApplyDelay: c.Lag},
		Baseline:   c.Baseline,
	}
	// All faults begin after a third of the load. The first group gets additional
	// writes, to measure how long its service is interrupted.
	for _, kind := range c.Fault {
		t.Plan.ProbeGroup = w.Groups[0]
		t.Faults = append(t.Faults, experiment.Fault{
			At: time.Duration(c.Seconds / 3 * float64(time.Second)), Duration: faultDuration, Kind: experiment.FaultKind(kind), Delay: 10 * c.Lag,
		})
	}
	return experiment.Run(ctx, t)
}

// startLog sets up the log on standard error if verbose is true, and discards
// it otherwise.
func startLog(verbose bool) error {
	if verbose {
		return logging.Configure(os.Stderr, 1)
	}
	return logging.Configure(io.Discard, 0)
}

// printReport prints a report. It fails if there are violations.
func printReport(r load.Report, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(r); err != nil {
			return errors.WithStack(err)
		}
	} else if err := r.Write(os.Stdout); err != nil {
		return err
	}
	if n := r.Violations.Total(); n > 0 {
		return errors.Errorf("%d violations", n)
	}
	return nil
}
