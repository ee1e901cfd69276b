// Command eelgrasslab holds everything that is not the product: the stand-ins,
// the load, the experiments and the demonstration.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// The exit codes of the command.
const (
	exitFailure = 1
	exitUsage   = 2
)

// command is the command line.
type command struct {
	Demo     demoCommand       `command:"demo" description:"Run the whole path on loopback, with a failover"`
	Load     loadCommand       `command:"load" description:"Offer a workload to five proxies and check every answer"`
	Trials   experimentCommand `command:"experiment" description:"Run an experiment"`
	Platform platformCommand   `command:"platform" description:"Run the stand-in of the platform"`
	Group    groupCommand      `command:"group" description:"Run the stand-in of a database group"`
}

func main() { os.Exit(run(os.Args[1:])) }

// run runs the command line and returns the exit code.
func run(arguments []string) int {
	var c command
	parser := flags.NewParser(&c, flags.HelpFlag|flags.PassDoubleDash)
	_, err := parser.ParseArgs(arguments)
	var usage *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(usage.Message)
		return 0
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, usage.Message)
		return exitUsage
	default:
		fmt.Fprintln(os.Stderr, "eelgrasslab:", err)
		return exitFailure
	}
}

// interrupted returns a context that ends with the first signal to stop.
func interrupted() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}
