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

// settingsVariable names the file of settings where no flag does.
const settingsVariable = "EELGRASSLADDER_NODE_FILE"

// nodeCommand runs a proxy on the users' platform.
type nodeCommand struct {
	Settings string `long:"settings" value-name:"FILE" env:"EELGRASSLADDER_NODE_FILE" description:"Settings of this process, in JSON with comments"`
}

// Execute runs the proxy until it is told to stop; then it leaves gracefully.
func (c *nodeCommand) Execute([]string) error {
	if c.Settings == "" {
		return command.UsageError("name the settings with --settings or in " + settingsVariable)
	}
	s, findings, err := settings.ReadNode(c.Settings)
	if err != nil {
		return command.UsageError(err.Error())
	}
	if len(findings) > 0 {
		return command.UsageError(findings.Err().Error())
	}
	lines := logging.NewWriter(os.Stdout)
	if err := logging.Start(lines, s.LogLevel); err != nil {
		return err
	}
	writing := task.New(context.Background())
	writing.Go("log", lines.Run)
	defer func() {
		klog.Flush()
		writing.Stop()
		_ = writing.Wait()
	}()
	signal.Ignore(syscall.SIGPIPE)
	writing.Go("reload", awaitReload)
	stopping, cancel := command.SignalContext()
	defer cancel()
	process, err := node.New(s, adapter.Parts(s))
	if err != nil {
		return err
	}
	return process.Run(stopping)
}

// awaitReload notes each SIGHUP. Settings are read at the start alone; what
// changes while a process runs is configuration, which comes from the store.
func awaitReload(ctx context.Context) error {
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGHUP)
	defer signal.Stop(asked)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-asked:
			klog.InfoS("Reload asked for; settings are read at the start alone")
		}
	}
}
