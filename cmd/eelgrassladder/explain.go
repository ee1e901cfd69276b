package main

import (
	"os"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/host/command"
	"eelgrassladder.example/eelgrassladder/internal/host/report"
)

// explainCommand prints the history of a request or of a group's primaries
// from log files.
type explainCommand struct {
	Request   string `long:"request" value-name:"ID" description:"ID of a client's statement: print its history"`
	Group     string `long:"group" value-name:"NAME" description:"Name of a group: print the history of its primary and members"`
	From      string `long:"from" value-name:"TIME" description:"With --group: time of the earliest entry, such as 2026-01-31T09:00:00Z"`
	To        string `long:"to" value-name:"TIME" description:"With --group: time of the latest entry"`
	Arguments struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`
}

// Execute reads the log files and prints the history.
func (c *explainCommand) Execute([]string) error {
	from, to, err := c.parseBounds()
	if err != nil {
		return err
	}
	var merged report.MergedLog
	for _, name := range c.Arguments.Files {
		file, err := os.Open(name)
		if err != nil {
			return command.UsageError(err.Error())
		}
		err = merged.Read(name, file)
		_ = file.Close()
		if err != nil {
			return err
		}
	}
	if c.Group != "" {
		return merged.ExplainGroup(os.Stdout, c.Group, from, to)
	}
	return merged.Explain(os.Stdout, c.Request)
}

// parseBounds checks that the flags fit together, and returns the times of --from
// and --to. They are zero if the flags are not given.
func (c *explainCommand) parseBounds() (from, to time.Time, err error) {
	if (c.Request == "") == (c.Group == "") {
		return from, to, command.UsageError("name either a request (--request) or a group (--group)")
	}
	for _, bound := range []struct {
		flag, text string
		at         *time.Time
	}{{"--from", c.From, &from}, {"--to", c.To, &to}} {
		if bound.text == "" {
			continue
		}
		if c.Group == "" {
			return from, to, command.UsageError(bound.flag + " needs --group")
		}
		if *bound.at, err = time.Parse(time.RFC3339Nano, bound.text); err != nil {
			return from, to, command.UsageError(bound.flag + ": " + bound.text + " is not a time such as 2026-01-31T09:00:00Z")
		}
	}
	return from, to, nil
}
