// Command standin-2 plays the cases of the second review whose faults can't be put as a day:
// it starts the project's proxies as processes beside a simulated platform, and judges what
// clients, endpoints and the platform see.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(*deployment) (bool, error){
	"memory": playMemory,
	"entry":  playEntry,
	"holder": playHolder,
	"stale":  playStale,
	"token":  playToken,
}

func main() { os.Exit(run()) }

// run plays the case that the first argument names and returns the exit code. The second
// argument is the folder of the case.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER")
		return exitFailed
	}
	d, err := newDeployment(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer d.close()
	broken, err := cases[os.Args[1]](d)
	switch {
	case err != nil:
		d.note("the case could not run: %v", err)
		return exitFailed
	case broken:
		d.note("the rule was broken")
		return exitBroken
	}
	d.note("the rule held")
	return exitHeld
}
