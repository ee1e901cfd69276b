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

// Execute runs the proxy until a signal stops it, and then shuts it down
// gracefully.
func (c *serveCommand) Execute([]string) error {
	s, findings, err := settings.Read(c.Settings)
	if err != nil {
		return command.UsageError(err.Error())
	}
	if len(findings) > 0 {
		return command.UsageError(findings.Err().Error())
	}
	if err := logging.Configure(os.Stderr, s.Log.Level); err != nil {
		return err
	}
	defer klog.Flush()
	keys, err := keyring.Read(s)
	if err != nil {
		return command.UsageError(err.Error())
	}
	stopContext, cancel := command.SignalContext()
	defer cancel()
	process, err := service.New(context.Background(), s, keys)
	if err != nil {
		return err
	}
	// The process runs with a context of its own, so that a signal starts a
	// graceful shutdown instead of ending it.
	shutdown := task.New(context.Background())
	shutdown.GoIsolated("shutdown", func(ctx context.Context) {
		select {
		case <-ctx.Done():
		case <-stopContext.Done():
			process.Shutdown(ctx)
		}
	})
	err = process.Run(context.Background())
	shutdown.Stop()
	_ = shutdown.Wait()
	return err
}

// checkCommand checks settings and configuration files.
type checkCommand struct {
	Arguments struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`
}

// Execute checks each file and reports the findings of all files together.
func (c *checkCommand) Execute([]string) error {
	var findings finding.Findings
	for _, file := range c.Arguments.Files {
		text, err := os.ReadFile(file)
		if err != nil {
			findings = append(findings, finding.Finding{File: file, Path: "/", Message: err.Error()})
			continue
		}
		findings = append(findings, checkFile(file, text)...)
	}
	if len(findings) > 0 {
		return command.UsageError(findings.Err().Error())
	}
	return nil
}

// checkFile checks the text of a file as a configuration if it contains
// "Classes" in double quotes, and as settings otherwise.
func checkFile(file string, text []byte) finding.Findings {
	if strings.Contains(string(text), `"Classes"`) {
		_, findings := configuration.Parse(file, text)
		return findings
	}
	_, findings := settings.Parse(file, text)
	return findings
}
