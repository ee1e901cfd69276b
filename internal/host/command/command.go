// Package command runs the command lines of the programs: it parses arguments,
// prints help and maps errors to exit codes.
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
	// ExitFailure means that the command failed.
	ExitFailure = 1
	// ExitUsage means that the command line or an input file is invalid.
	ExitUsage = 2
)

// usageError reports an invalid command line or input file. Its text is
// printed without the program's name.
type usageError string

func (e usageError) Error() string { return string(e) }

// UsageError returns an error about an invalid command line or input file. Run
// returns ExitUsage for it.
func UsageError(text string) error { return usageError(text) }

// Run parses the arguments into commands, a pointer to a struct with go-flags
// tags, executes the command that they name, and returns the exit code, which is
// 0 on success and after help was printed.
func Run(commands any, description string, arguments []string) int {
	parser := flags.NewParser(commands, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = description
	_, err := parser.ParseArgs(arguments)
	var flagsError *flags.Error
	var usage usageError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp:
		fmt.Println(flagsError.Message)
		return 0
	case errors.As(err, &flagsError):
		fmt.Fprintln(os.Stderr, flagsError.Message)
		return ExitUsage
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	default:
		fmt.Fprintln(os.Stderr, parser.Name+":", err)
		return ExitFailure
	}
}

// SignalContext returns a context that ends with the first SIGINT or SIGTERM.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}
