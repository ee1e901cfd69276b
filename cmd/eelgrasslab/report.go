package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/lab/journal"
)

// reportCommand shows the scores in the journal of the users' bench.
type reportCommand struct {
	Journal string `long:"journal" default:"journal" value-name:"DIR" description:"Folder with the entries"`
	Draw    string `long:"draw" value-name:"FILE" description:"PNG file for a picture of the scores"`
}

// Execute prints a table for each site. It names entries that cannot be read
// on standard error, prints the others, and then fails.
func (c *reportCommand) Execute([]string) error {
	all, findings := journal.Read(c.Journal)
	if err := journal.Write(os.Stdout, all); err != nil {
		return err
	}
	if c.Draw != "" {
		if err := journal.Draw(c.Draw, all); err != nil {
			return err
		}
	}
	if findings != nil {
		fmt.Fprintln(os.Stderr, findings)
		return errors.New("some entries cannot be read")
	}
	return nil
}
