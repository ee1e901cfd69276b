package main

import (
	"context"
	"os"
	"strings"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder/internal/host/command"
	"eelgrassladder.example/eelgrassladder/internal/host/finding"
	"eelgrassladder.example/eelgrassladder/internal/host/keyring"
	"eelgrassladder.example/eelgrassladder/internal/host/logging"
	"eelgrassladder.example/eelgrassladder/internal/host/service"
	"eelgrassladder.example/eelgrassladder/internal/host/settings"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/model/configuration"
)

// serveCommand runs a proxy.
type serveCommand struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"Settings of this process, in JSON with comments"`
}

// Execute runs the proxy until it is told to stop; then it leaves gracefully.
func (c *serveCommand) Execute([]string) error {
	s, findings, err := settings.Read(c.Settings)
	if err != nil {
		return command.UsageError(err.Error())
	}
	if len(findings) > 0 {
		return command.UsageError(findings.Err().Error())
	}
	if err := logging.Start(os.Stderr, s.Log.Level); err != nil {
		return err
	}
	defer klog.Flush()
	keys, err := keyring.Read(s)
	if err != nil {
		return command.UsageError(err.Error())
	}
	stopping, cancel := command.SignalContext()
	defer cancel()
	process, err := service.New(context.Background(), s, keys)
	if err != nil {
		return err
	}
	leaving := task.New(context.Background())
	leaving.GoIsolated("shutdown", func(ctx context.Context) {
		select {
		case <-ctx.Done():
		case <-stopping.Done():
			process.Shutdown(ctx)
		}
	})
	err = process.Run(context.Background())
	leaving.Stop()
	_ = leaving.Wait()
	return err
}

// checkCommand checks files.
type checkCommand struct {
	Arguments struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`
}

// Execute checks each file as settings or as configuration, and reports all
// findings together.
func (c *checkCommand) Execute([]string) error {
	var all finding.Findings
	for _, file := range c.Arguments.Files {
		text, err := os.ReadFile(file)
		if err != nil {
			all = append(all, finding.Finding{File: file, Path: "/", Message: err.Error()})
			continue
		}
		all = append(all, check(file, text)...)
	}
	if len(all) > 0 {
		return command.UsageError(all.Err().Error())
	}
	return nil
}

// check checks a file as configuration if it names classes, and as settings
// otherwise.
func check(file string, text []byte) finding.Findings {
	if strings.Contains(string(text), `"Classes"`) {
		_, findings := configuration.Parse(file, text)
		return findings
	}
	_, findings := settings.Parse(file, text)
	return findings
}
