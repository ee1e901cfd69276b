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

// maxMinutes bounds a chaos trial.
const maxMinutes = 30

// experimentCommand runs experiments.
type experimentCommand struct {
	Overhead overheadCommand `command:"overhead" description:"Compare a read through proxies with a direct one"`
	Idle     idleCommand     `command:"idle" description:"Measure what idle callers cost"`
	Control  controlCommand  `command:"control" description:"Measure what proxies spend on each other, by their number"`
	Chaos    chaosCommand    `command:"chaos" description:"Draw faults from a seed, together and twice, and check every promise"`
}

// chaosCommand runs a chaos trial.
type chaosCommand struct {
	Seed    uint64  `long:"seed" default:"1" description:"Seed of the workload, its faults and arrivals"`
	Minutes float64 `long:"minutes" default:"0.25" description:"How long requests start"`
	JSON    bool    `long:"json" description:"Print JSON"`
	Verbose bool    `long:"verbose" description:"Log to standard error"`
}

// Execute prints the schedule, runs the trial and fails on any violation.
func (c *chaosCommand) Execute([]string) error {
	if c.Minutes <= 0 || c.Minutes > maxMinutes {
		return errors.Errorf("minutes must be above 0 and at most %d", maxMinutes)
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

// controlCommand measures the cost of control.
type controlCommand struct {
	Nodes   []int `long:"nodes" description:"Proxies of a trial; repeat for more trials" default:"5" default:"25" default:"100" default:"215" default:"430"`
	Groups  int   `long:"groups" description:"Database groups at 430 proxies; fewer in proportion" default:"610"`
	Seconds int   `long:"seconds" description:"Length of each measurement" default:"10"`
}

// groupsAt is the number of proxies that the number of groups belongs to.
const groupsAt = 430

// Execute runs the trials and prints them with their slopes.
func (c *controlCommand) Execute([]string) error {
	if err := startLog(false); err != nil {
		return err
	}
	ctx, cancel := command.SignalContext()
	defer cancel()
	fmt.Println("In one process; heartbeats travel in memory, encoded and counted, with the headers of a network added.")
	var all []experiment.ControlCost
	for _, n := range c.Nodes {
		groups := max(1, n*c.Groups/groupsAt)
		one, err := experiment.MeasureControl(ctx, n, groups, time.Duration(c.Seconds)*time.Second, workload.Magnolia().Configuration)
		if err != nil {
			return err
		}
		all = append(all, one)
	}
	if err := experiment.WriteControl(os.Stdout, all); err != nil {
		return err
	}
	probe, err := experiment.MeasureProbe(ctx, time.Duration(c.Seconds)*time.Second)
	if err != nil {
		return err
	}
	fmt.Printf("Probes of a group: %.0f bytes a second when idle, %.0f bytes more for each write\n", probe.IdleBytes, probe.WriteBytes)
	return nil
}

// overheadCommand compares the ways to a member.
type overheadCommand struct {
	Callers []int `long:"callers" description:"Callers at one time; repeat for more" default:"1" default:"64"`
	Seconds int   `long:"seconds" description:"Length of each measurement" default:"3"`
}

// Execute measures each way and prints the ratios.
func (c *overheadCommand) Execute([]string) error {
	if err := startLog(false); err != nil {
		return err
	}
	ctx, cancel := command.SignalContext()
	defer cancel()
	all, err := experiment.MeasureOverhead(ctx, c.Callers, time.Duration(c.Seconds)*time.Second)
	if err != nil {
		return err
	}
	return experiment.WriteOverhead(os.Stdout, all)
}

// idleCommand measures idle callers.
type idleCommand struct {
	Connections int `long:"connections" description:"Callers to connect" default:"10000"`
}

// Execute connects the callers and prints what they cost.
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
