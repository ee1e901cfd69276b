// Command eelgrassladder runs a proxy and drives the system.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// The exit codes of the command.
const (
	exitFailure = 1
	exitUsage   = 2
)

// errSettings marks a failure that the user mends in a file or on the command
// line.
var errSettings = errors.New("settings are not usable")

// command is the command line.
type command struct {
	Version   func()           `long:"version" description:"Print the version and exit"`
	Serve     serveCommand     `command:"serve" description:"Run a proxy"`
	Check     checkCommand     `command:"check" description:"Check settings and configuration files without starting anything"`
	Configure configureCommand `command:"configure" description:"Read and set the configuration of the whole system"`
	Report    reportCommand    `command:"report" description:"Report what the system does"`
	Groups    groupsCommand    `command:"groups" description:"List groups, owners, members and terms as one proxy observes them"`
	Verifier  verifierCommand  `command:"verifier" description:"Read a password from standard input and print its verifier for a configuration"`
}

// examples stands below the help of the command.
const examples = `Examples:
  eelgrassladder check settings.hujson configuration.hujson
  eelgrassladder serve --settings settings.hujson
  eelgrassladder configure get --operator 127.0.0.1:8080 --token-file token > configuration.hujson
  eelgrassladder configure put --operator 127.0.0.1:8080 --token-file token --based 4 configuration.hujson
  eelgrassladder report burn --operator 127.0.0.1:8080 --operator 127.0.0.1:8081 --token-file token
`

func main() { os.Exit(run(os.Args[1:])) }

// run runs the command line and returns the exit code.
func run(arguments []string) int {
	var c command
	c.Version = printVersion
	parser := flags.NewParser(&c, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "A database proxy driven by targets per class of work.\n\n" + examples
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
	case errors.Is(err, errSettings):
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	default:
		fmt.Fprintln(os.Stderr, "eelgrassladder:", err)
		return exitFailure
	}
}

// printVersion prints the version of the build and ends the process.
func printVersion() {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	fmt.Println("eelgrassladder", version)
	os.Exit(0)
}

// interrupted returns a context that ends with the first signal to stop.
func interrupted() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}
