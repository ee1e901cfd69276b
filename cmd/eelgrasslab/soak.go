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
	Seed    uint64 `long:"seed" default:"1" description:"First seed"`
	Seeds   uint64 `long:"seeds" default:"1" description:"Number of seeds to run, one after another"`
	Seconds int    `long:"seconds" default:"15" description:"Seconds during which faults begin, for each seed"`
	Proxies int    `long:"proxies" default:"4" description:"Number of proxies, each a process"`
	Groups  int    `long:"groups" default:"2" description:"Database groups of three members"`
	Folder  string `long:"folder" value-name:"DIR" description:"Where settings and logs are kept; a temporary folder if empty"`
	Quiet   bool   `long:"quiet" description:"Do not print the schedule"`
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
	binary, err := soak.Build(folder)
	if err != nil {
		return err
	}
	violations := 0
	for seed := c.Seed; seed < c.Seed+c.Seeds; seed++ {
		plan := soak.Plan{
			Seed: seed, Length: time.Duration(c.Seconds) * time.Second, Proxies: c.Proxies, Groups: c.Groups,
			Binary: binary, Folder: filepath.Join(folder, fmt.Sprintf("seed-%d", seed)), Output: os.Stdout,
		}
		if c.Quiet {
			plan.Output = nil
		}
		result, err := soak.Run(context.Background(), plan)
		if err != nil {
			return errors.WithMessagef(err, "seed %d", seed)
		}
		fmt.Printf("Seed=%d Served=%d Failed=%d Starts=%d Violations=%d\n%s", seed, result.Served, result.Failed,
			result.Starts, len(result.Violations), strings.Join(append(result.Violations, ""), "\n"))
		violations += len(result.Violations)
	}
	if violations > 0 {
		return errors.Errorf("%d violations; logs are in %s", violations, folder)
	}
	return nil
}
