package main

import (
	"os"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/host/command"
	"eelgrassladder.example/eelgrassladder/internal/host/report"
)

// explainCommand prints the story of a request, or of the primary of a group.
type explainCommand struct {
	Request   string `long:"request" value-name:"ID" description:"Identifier of the client's statement"`
	Group     string `long:"group" value-name:"NAME" description:"Name of a group, instead of a request: its changes of primary"`
	From      string `long:"from" value-name:"TIME" description:"With --group: the earliest line, such as 2026-01-31T09:00:00Z"`
	To        string `long:"to" value-name:"TIME" description:"With --group: the latest line"`
	Arguments struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`
}

// Execute reads the logs and prints what they tell.
func (c *explainCommand) Execute([]string) error {
	from, to, err := c.check()
	if err != nil {
		return err
	}
	var l report.Log
	for _, name := range c.Arguments.Files {
		file, err := os.Open(name)
		if err != nil {
			return command.UsageError(err.Error())
		}
		err = l.Read(name, file)
		_ = file.Close()
		if err != nil {
			return err
		}
	}
	if c.Group != "" {
		return l.ExplainGroup(os.Stdout, c.Group, from, to)
	}
	return l.Explain(os.Stdout, c.Request)
}

// check returns the bounds in time, or what is wrong with the flags.
func (c *explainCommand) check() (from, to time.Time, err error) {
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
