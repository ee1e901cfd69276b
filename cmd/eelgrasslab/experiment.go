package main

import (
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/host/command"
	"eelgrassladder.example/eelgrassladder/internal/lab/experiment"
	"eelgrassladder.example/eelgrassladder/internal/lab/workload"
)

// maxMinutes is the maximum length of a chaos trial.
const maxMinutes = 30

// experimentCommand groups the experiments.
type experimentCommand struct {
	Overhead overheadCommand `command:"overhead" description:"Compare a read through proxies with a direct one"`
	Idle     idleCommand     `command:"idle" description:"Measure what idle callers cost"`
	Control  controlCommand  `command:"control" description:"Measure what coordination costs proxies, by their number"`
	Chaos    chaosCommand    `command:"chaos" description:"Run a trial under random faults drawn from a seed, and check every promise"`
}

// chaosCommand runs a trial under random faults, and checks what the proxies
// guarantee.
type chaosCommand struct {
	Seed    uint64  `long:"seed" default:"1" description:"Seed of the workload, its faults and arrivals"`
	Minutes float64 `long:"minutes" default:"0.25" description:"Minutes during which requests are started"`
	JSON    bool    `long:"json" description:"Print JSON"`
	Verbose bool    `long:"verbose" description:"Log to standard error"`
}

// Execute prints the faults unless JSON is asked for, runs the trial and prints
// its report. It fails if there are violations.
func (c *chaosCommand) Execute([]string) error {
	if c.Minutes <= 0 || c.Minutes > maxMinutes {
		return errors.Errorf("minutes must be above 0 and at most %d, not %g", maxMinutes, c.Minutes)
	}
	if err := startLog(c.Verbose); err != nil {
		return err
	}
	ctx, cancel := command.SignalContext()
	defer cancel()
	t := experiment.Chaos(c.Seed, time.Duration(c.Minutes*float64(time.Minute)))
	if !c.JSON {
		for _, f := range t.Faults {
			fmt.Println(f)
		}
	}
	report, err := experiment.Run(ctx, t)
	if err != nil {
		return err
	}
	return printReport(report, c.JSON)
}

// controlCommand measures what it costs different numbers of proxies to
// coordinate: traffic, CPU time, memory and propagation delays.
type controlCommand struct {
	Nodes   []int `long:"nodes" description:"Number of proxies; repeat for more trials" default:"5" default:"25" default:"100" default:"215" default:"430"`
	Groups  int   `long:"groups" description:"Number of database groups with 430 proxies; in proportion with others" default:"610"`
	Seconds int   `long:"seconds" description:"Length of each measurement in seconds" default:"10"`
}

// referenceProxies is the number of proxies in a trial with as many groups as the
// flag --groups says. The number of groups is proportional to that of proxies.
const referenceProxies = 430

// Execute runs a trial for each number of proxies and prints the results with
// lines fitted to them. Then it measures the traffic of probes and prints it.
func (c *controlCommand) Execute([]string) error {
	if err := startLog(false); err != nil {
		return err
	}
	ctx, cancel := command.SignalContext()
	defer cancel()
	fmt.Println("All proxies run in one process. Heartbeats pass through memory; bytes are counted as encoded, with network headers added.")
	var costs []experiment.ControlCost
	for _, proxies := range c.Nodes {
		groups := max(1, proxies*c.Groups/referenceProxies)
		cost, err := experiment.MeasureControl(ctx, proxies, groups, time.Duration(c.Seconds)*time.Second, workload.Magnolia().Configuration)
		if err != nil {
			return err
		}
		costs = append(costs, cost)
	}
	if err := experiment.WriteControl(os.Stdout, costs); err != nil {
		return err
	}
	probe, err := experiment.MeasureProbe(ctx, time.Duration(c.Seconds)*time.Second)
	if err != nil {
		return err
	}
	fmt.Printf("Probes of a group: %.0f bytes a second when idle, %.0f bytes more for each write\n", probe.IdleBytes, probe.WriteBytes)
	return nil
}

// overheadCommand compares reads through proxies with reads directly from a
// member.
type overheadCommand struct {
	Callers []int `long:"callers" description:"Concurrent callers; repeat for more measurements" default:"1" default:"64"`
	Seconds int   `long:"seconds" description:"Length of each measurement in seconds" default:"3"`
}

// Execute measures each path for each number of callers and prints the ratios.
func (c *overheadCommand) Execute([]string) error {
	if err := startLog(false); err != nil {
		return err
	}
	ctx, cancel := command.SignalContext()
	defer cancel()
	results, err := experiment.MeasureOverhead(ctx, c.Callers, time.Duration(c.Seconds)*time.Second)
	if err != nil {
		return err
	}
	return experiment.WriteOverhead(os.Stdout, results)
}

// idleCommand measures the cost of idle callers.
type idleCommand struct {
	Connections int `long:"connections" description:"Callers to connect" default:"10000"`
}

// Execute connects the callers and prints the memory and CPU time that they
// use.
func (c *idleCommand) Execute([]string) error {
	if err := startLog(false); err != nil {
		return err
	}
	ctx, cancel := command.SignalContext()
	defer cancel()
	idle, err := experiment.MeasureIdle(ctx, c.Connections)
	if err != nil {
		return err
	}
	fmt.Printf("Connections %d  BytesEach %.0f  CorePercent %.1f\n", idle.Connections, idle.BytesEach, idle.CorePercent)
	return nil
}
