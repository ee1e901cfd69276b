package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/lab/soak"
)

// soakCommand runs proxies as processes under random faults, and checks what
// they guarantee.
type soakCommand struct {
	Seed        uint64   `long:"seed" default:"1" description:"First seed"`
	Seeds       uint64   `long:"seeds" default:"1" description:"Number of seeds to run, one after another"`
	Seconds     int      `long:"seconds" default:"15" description:"Seconds during which faults begin, for each seed"`
	Proxies     int      `long:"proxies" default:"4" description:"Number of proxies, each a process"`
	Groups      int      `long:"groups" default:"2" description:"Database groups of three members"`
	DataCentres int      `long:"data-centres" default:"1" description:"Data centres in which the proxies are, in turn"`
	Clients     int      `long:"clients" default:"6" description:"Clients of each group"`
	Slots       int      `long:"slots" default:"2" description:"Statements that run at a member at a time"`
	StatementMs int      `long:"statement-ms" default:"1" description:"Milliseconds that a statement takes"`
	PauseMs     int      `long:"pause-ms" default:"1500" description:"Longest pause between two faults, in milliseconds"`
	Harsh       bool     `long:"harsh" description:"Inject faults like those of the users' machines, unless --fault is given"`
	Orders      bool     `long:"orders" description:"Inject faults around orders to promote, unless --fault is given"`
	Stutter     bool     `long:"stutter" description:"Inject members that answer twice, beside other faults, unless --fault is given"`
	Drill       bool     `long:"drill" description:"Inject a store that comes back from older copies, beside other faults, unless --fault is given"`
	Teams       int      `long:"teams" description:"Teams in whose names the clients call; 0 for a platform without teams. Inject faults of keys and limits, unless --fault is given"`
	CheckQuotas bool     `long:"check-quotas" description:"Check that no team exceeds its limit; for proxies that limit teams"`
	Connections int      `long:"connections" description:"Connections that a member accepts; 0 for 24, or two for each proxy"`
	Faults      []string `long:"fault" description:"Fault to inject; repeat it to make one more likely"`
	Binary      string   `long:"binary" value-name:"FILE" description:"Program that runs as a proxy; built from the source if empty"`
	Folder      string   `long:"folder" value-name:"DIR" description:"Where settings and logs are kept; a temporary folder if empty"`
	Quiet       bool     `long:"quiet" description:"Do not print the schedule"`
}

// Execute builds the programs and runs the seeds one after another, each in a
// folder of its own. It fails if there are violations.
func (c *soakCommand) Execute([]string) error {
	folder := c.Folder
	if folder == "" {
		temporary, err := os.MkdirTemp("", "eelgrasslab-soak")
		if err != nil {
			return errors.WithStack(err)
		}
		folder = temporary
	}
	binary := c.Binary
	if binary == "" {
		built, err := soak.Build(folder)
		if err != nil {
			return err
		}
		binary = built
	}
	violations := 0
	for seed := c.Seed; seed < c.Seed+c.Seeds; seed++ {
		plan := c.plan(seed)
		plan.Binary, plan.Folder, plan.Output = binary, filepath.Join(folder, fmt.Sprintf("seed-%d", seed)), os.Stdout
		if c.Quiet {
			plan.Output = nil
		}
		result, err := soak.Run(context.Background(), plan)
		if err != nil {
			return errors.WithMessagef(err, "seed %d", seed)
		}
		fmt.Printf("Seed=%d Served=%d Failed=%d Starts=%d Promotions=%d Versions=%d Unauthorized=%d Violations=%d\n%s", seed, result.Served, result.Failed,
			result.Starts, result.Promotions, result.Versions, result.Unauthorized, len(result.Violations), strings.Join(append(result.Violations, ""), "\n"))
		violations += len(result.Violations)
	}
	if violations > 0 {
		return errors.Errorf("%d violations; logs are in %s", violations, folder)
	}
	return nil
}

// plan returns the plan of a seed, without binary, folder and output.
func (c *soakCommand) plan(seed uint64) soak.Plan {
	plan := soak.DefaultPlan(seed)
	plan.Length, plan.Proxies, plan.Groups = time.Duration(c.Seconds)*time.Second, c.Proxies, c.Groups
	plan.DataCentres, plan.ClientsPerGroup, plan.Slots = c.DataCentres, c.Clients, c.Slots
	plan.StatementTime, plan.FaultPause = time.Duration(c.StatementMs)*time.Millisecond, time.Duration(c.PauseMs)*time.Millisecond
	plan.Teams, plan.CheckQuotas, plan.Connections = c.Teams, c.CheckQuotas, c.Connections
	switch {
	case len(c.Faults) > 0:
		plan.Faults = c.Faults
	case c.Teams > 0:
		plan.Faults = soak.TeamFaults()
	case c.Harsh:
		plan.Faults = soak.HarshFaults()
	case c.Orders:
		plan.Faults = soak.OrderFaults()
	case c.Drill:
		plan.Faults = soak.DrillFaults()
	case c.Stutter:
		plan.Faults = soak.StutterFaults()
	}
	return plan
}
