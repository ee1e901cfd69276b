// Package command runs the command lines of the programs: usage, help and
// exit codes.
package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// The exit codes of the programs.
const (
	// ExitFailure means that the command could not do what it was asked.
	ExitFailure = 1
	// ExitUsage means that the command line or a file must be mended.
	ExitUsage = 2
)

// usageError is a failure that the user mends in a file or on the command
// line. Its text is printed as it is.
type usageError string

// Error returns the text.
func (e usageError) Error() string { return string(e) }

// UsageError returns a failure that the user mends in a file or on the command
// line; it ends the program with ExitUsage.
func UsageError(text string) error { return usageError(text) }

// Run parses the arguments into c, a struct with go-flags tags, executes the
// command that they name, and returns the exit code.
func Run(c any, description string, arguments []string) int {
	parser := flags.NewParser(c, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = description
	_, err := parser.ParseArgs(arguments)
	var usage *flags.Error
	var mend usageError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(usage.Message)
		return 0
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, usage.Message)
		return ExitUsage
	case errors.As(err, &mend):
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	default:
		fmt.Fprintln(os.Stderr, parser.Name+":", err)
		return ExitFailure
	}
}

// SignalContext returns a context that ends with the first signal to stop.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}
