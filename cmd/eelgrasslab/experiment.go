package main

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/lab/experiment"
)

// maxMinutes bounds a chaos trial.
const maxMinutes = 30

// experimentCommand runs experiments.
type experimentCommand struct {
	Chaos chaosCommand `command:"chaos" description:"Draw faults from a seed, together and twice, and check every promise"`
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
	ctx, cancel := interrupted()
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
