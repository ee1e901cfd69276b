package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder/internal/host/command"
	"eelgrassladder.example/eelgrassladder/internal/host/journal"
	"eelgrassladder.example/eelgrassladder/internal/host/node"
	"eelgrassladder.example/eelgrassladder/internal/host/settings"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/platform/adapter"
)

// settingsVariable names the file of settings where no flag does.
const settingsVariable = "EELGRASSLADDER_NODE_FILE"

// nodeCommand runs a proxy on the users' platform.
type nodeCommand struct {
	Settings string `long:"settings" value-name:"FILE" env:"EELGRASSLADDER_NODE_FILE" description:"Settings of this process, in JSON with comments"`
}

// Execute runs the proxy until it is told to stop; then it leaves gracefully.
func (c *nodeCommand) Execute([]string) error {
	if c.Settings == "" {
		return command.Usage("name the settings with --settings or in " + settingsVariable)
	}
	s, findings, err := settings.ReadNode(c.Settings)
	if err != nil {
		return command.Usage(err.Error())
	}
	if len(findings) > 0 {
		return command.Usage(findings.Err().Error())
	}
	logWriter := journal.NewWriter(os.Stdout)
	if err := journal.Start(logWriter, s.LogLevel); err != nil {
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
	stopContext, cancel := command.Interrupted()
	defer cancel()
	process, err := node.New(s, adapter.Parts(s))
	if err != nil {
		return err
	}
	return process.Run(stopContext)
}

// logReloadSignals notes each SIGHUP. Settings are read at the start alone; what
// changes while a process runs is configuration, which comes from the store.
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
