// Command eelgrassladder runs a proxy and operates the system.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"eelgrassladder.example/eelgrassladder/internal/host/command"
)

// commands defines the command line.
type commands struct {
	Version   func()           `long:"version" description:"Print the version and exit"`
	Serve     serveCommand     `command:"serve" description:"Run a proxy"`
	Node      nodeCommand      `command:"node" description:"Run a proxy on the users' platform"`
	Check     checkCommand     `command:"check" description:"Check settings and configuration files without starting anything"`
	Configure configureCommand `command:"configure" description:"Read and set the configuration of the whole system"`
	Report    reportCommand    `command:"report" description:"Report what the system does"`
	Explain   explainCommand   `command:"explain" description:"Print what log files say about a request or about the primaries of a group"`
	Groups    groupsCommand    `command:"groups" description:"List groups, owners, members and terms as one proxy observes them"`
	Verifier  verifierCommand  `command:"verifier" description:"Read a password from standard input and print its verifier for a configuration"`
}

// usageExamples is part of the help of the program.
const usageExamples = `Examples:
  eelgrassladder check settings.hujson configuration.hujson
  eelgrassladder serve --settings settings.hujson
  eelgrassladder configure get --operator 127.0.0.1:8080 --token-file token > configuration.hujson
  eelgrassladder configure put --operator 127.0.0.1:8080 --token-file token --based 4 configuration.hujson
  eelgrassladder explain --request 5c0e7a21d94b36f8 proxy-1.log proxy-2.log
  eelgrassladder explain --group commission-orders-1 --from 2026-01-31T09:00:00Z proxy-1.log proxy-2.log
  eelgrassladder report burn --operator 127.0.0.1:8080 --operator 127.0.0.1:8081 --token-file token
`

func main() { os.Exit(run(os.Args[1:])) }

// run runs the command line and returns the exit code.
func run(arguments []string) int {
	c := commands{Version: printVersion}
	return command.Run(&c, "A database proxy driven by targets per class of work.\n\n"+usageExamples, arguments)
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
