package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder/internal/host/command"
	"eelgrassladder.example/eelgrassladder/internal/host/logging"
	"eelgrassladder.example/eelgrassladder/internal/host/node"
	"eelgrassladder.example/eelgrassladder/internal/host/settings"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/platform/adapter"
)

// settingsVariable is the environment variable that names the settings file if
// the flag --settings does not.
const settingsVariable = "EELGRASSLADDER_NODE_FILE"

// nodeCommand runs a proxy on the users' platform.
type nodeCommand struct {
	Settings string `long:"settings" value-name:"FILE" env:"EELGRASSLADDER_NODE_FILE" description:"Settings of this process, in JSON with comments"`
}

// Execute runs the proxy until a signal stops it, and then shuts it down
// gracefully.
func (c *nodeCommand) Execute([]string) error {
	if c.Settings == "" {
		return command.UsageError("no settings file; name it with --settings or in " + settingsVariable)
	}
	s, findings, err := settings.ReadNode(c.Settings)
	if err != nil {
		return command.UsageError(err.Error())
	}
	if len(findings) > 0 {
		return command.UsageError(findings.Err().Error())
	}
	logWriter := logging.NewWriter(os.Stdout)
	if err := logging.Configure(logWriter, s.LogLevel); err != nil {
		return err
	}
	background := task.New(context.Background())
	background.Go("log", logWriter.Run)
	defer func() {
		klog.Flush()
		background.Stop()
		_ = background.Wait()
	}()
	signal.Ignore(syscall.SIGPIPE)
	background.Go("reload", logReloadSignals)
	stopContext, cancel := command.SignalContext()
	defer cancel()
	process, err := node.New(s, adapter.Dependencies(s))
	if err != nil {
		return err
	}
	return process.Run(stopContext)
}

// logReloadSignals logs each SIGHUP until ctx ends. Nothing is reloaded: settings
// are only read at the start, and the configuration, which can change while the
// process runs, comes from the store.
func logReloadSignals(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-signals:
			klog.InfoS("Reload asked for; settings are read at the start alone")
		}
	}
}
