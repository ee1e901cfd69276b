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

// Execute prints a table of the scores for each site. If some files cannot be
// read, it prints the scores of the others, names those files on standard error,
// and fails.
func (c *reportCommand) Execute([]string) error {
	scores, readErr := journal.Read(c.Journal)
	if err := journal.Write(os.Stdout, scores); err != nil {
		return err
	}
	if c.Draw != "" {
		if err := journal.Draw(c.Draw, scores); err != nil {
			return err
		}
	}
	if readErr != nil {
		fmt.Fprintln(os.Stderr, readErr)
		return errors.New("some entries of the journal cannot be read")
	}
	return nil
}
