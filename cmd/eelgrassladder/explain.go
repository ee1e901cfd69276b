package main

import (
	"os"

	"eelgrassladder.example/eelgrassladder/internal/host/command"
	"eelgrassladder.example/eelgrassladder/internal/host/report"
)

// explainCommand prints the story of a request.
type explainCommand struct {
	Request   string `long:"request" required:"true" value-name:"ID" description:"Identifier of the client's statement"`
	Arguments struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`
}

// Execute reads the logs and prints what they tell of the request.
func (c *explainCommand) Execute([]string) error {
	var l report.Log
	for _, name := range c.Arguments.Files {
		file, err := os.Open(name)
		if err != nil {
			return command.Usage(err.Error())
		}
		err = l.Read(name, file)
		_ = file.Close()
		if err != nil {
			return err
		}
	}
	return l.Explain(os.Stdout, c.Request)
}
