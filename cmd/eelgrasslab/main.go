// Command eelgrasslab runs the simulated platform and database groups, the
// loads, the experiments, the soak and the demonstration, and shows the report of
// the scores. None of these is part of the product.
package main

import (
	"os"

	"eelgrassladder.example/eelgrassladder/internal/host/command"
)

// commands holds the subcommands.
type commands struct {
	Demo       demoCommand       `command:"demo" description:"Demonstrate proxies on loopback, with a failover"`
	Load       loadCommand       `command:"load" description:"Offer a workload to five proxies and check every answer"`
	Experiment experimentCommand `command:"experiment" description:"Run an experiment"`
	Platform   platformCommand   `command:"platform" description:"Run the simulated platform"`
	Group      groupCommand      `command:"group" description:"Run a simulated database group"`
	Soak       soakCommand       `command:"soak" description:"Run proxies as processes under random faults and check the promises"`
	Report     reportCommand     `command:"report" description:"Show the scores in the journal of the users' bench"`
}

func main() { os.Exit(run(os.Args[1:])) }

// run parses the arguments, runs the command that they name, and returns the exit
// code.
func run(arguments []string) int {
	var c commands
	return command.Run(&c, "Simulations, loads and experiments for eelgrassladder.", arguments)
}
