package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	generated "eelgrassladder.example/eelgrassladder/gen/platform"
	"eelgrassladder.example/eelgrassladder/internal/host/command"
	"eelgrassladder.example/eelgrassladder/internal/host/fleet"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/lab/group"
	"eelgrassladder.example/eelgrassladder/internal/lab/platform"
)

// platformCommand runs the simulated platform.
type platformCommand struct {
	Address       string `long:"address" default:"127.0.0.1:7000" description:"IP address and port to listen on"`
	Hosts         string `long:"hosts" required:"true" value-name:"FILE" description:"Host list, in JSON with comments"`
	Configuration string `long:"configuration" value-name:"FILE" description:"Configuration that is in the store at the start"`
}

// Execute reads the files, stores the configuration, and serves until the process
// is interrupted.
func (c *platformCommand) Execute([]string) error {
	list, err := readHosts(c.Hosts)
	if err != nil {
		return err
	}
	ctx, cancel := command.SignalContext()
	defer cancel()
	tasks := task.New(ctx)
	store := platform.NewStore()
	store.SetHosts(list)
	if c.Configuration != "" {
		text, err := os.ReadFile(c.Configuration)
		if err != nil {
			return errors.WithStack(err)
		}
		initial := &generated.SwapPayload{Key: fleet.ConfigurationKey, Value: string(text), ChangeID: "start"}
		if _, err := store.Swap(ctx, initial); err != nil {
			return errors.WithStack(err)
		}
	}
	address, err := platform.Start(tasks, store, c.Address)
	if err != nil {
		return err
	}
	fmt.Println("Platform:", address)
	return tasks.Wait()
}

// readHosts reads a host list from a file of JSON with comments.
func readHosts(file string) (*generated.HostList, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	plainJSON, err := hujson.Standardize(text)
	if err != nil {
		return nil, errors.WithMessage(err, "reading the host list "+file)
	}
	list := &generated.HostList{}
	return list, errors.WithMessage(json.Unmarshal(plainJSON, list), "reading the host list "+file)
}

// groupCommand runs a simulated database group.
type groupCommand struct {
	Name        string        `long:"name" required:"true" description:"Name of the group and of its database"`
	Addresses   []string      `long:"address" required:"true" description:"IP address and port of a member; repeat for each"`
	Slots       int           `long:"slots" default:"2" description:"Statements that a member runs at one time"`
	Connections int           `long:"connections" default:"16" description:"Connections that a member accepts"`
	Service     time.Duration `long:"service" default:"4ms" description:"Time that a statement holds a slot"`
	Lag         time.Duration `long:"lag" default:"50ms" description:"Time from the receipt of a log entry at a replica until reads there see it"`
}

// Execute starts the members, prints their addresses, and serves until the process
// is interrupted.
func (c *groupCommand) Execute([]string) error {
	ctx, cancel := command.SignalContext()
	defer cancel()
	tasks := task.New(ctx)
	layout := group.Layout{Slots: c.Slots, Connections: c.Connections, Addresses: c.Addresses, DataCentres: make([]string, len(c.Addresses))}
	simulatedGroup, err := group.Start(tasks, c.Name, layout, group.Conditions{ServiceTime: c.Service, ConnectTime: connectDelay, ApplyDelay: c.Lag})
	if err != nil {
		return err
	}
	for _, m := range simulatedGroup.HostListEntries() {
		fmt.Printf("%s: %s\n", m.Name, m.Address)
	}
	return ignoreShutdown(ctx, tasks.Wait())
}

// connectDelay is how long it takes to open a connection to a member.
const connectDelay = 12 * time.Millisecond

// ignoreShutdown returns nil if ctx has ended, because a server that is shut
// down returns an error.
func ignoreShutdown(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}
