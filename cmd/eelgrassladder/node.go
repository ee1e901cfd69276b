package main

import (
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/internal/host/clock"
	"eelgrassladder.example/eelgrassladder/internal/host/command"
	"eelgrassladder.example/eelgrassladder/internal/host/gateway"
	"eelgrassladder.example/eelgrassladder/internal/host/journal"
	"eelgrassladder.example/eelgrassladder/internal/host/node"
	"eelgrassladder.example/eelgrassladder/internal/host/settings"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/platform/caller"
	"eelgrassladder.example/eelgrassladder/platform/duty"
	"eelgrassladder.example/eelgrassladder/platform/endpoint"
	"eelgrassladder.example/eelgrassladder/platform/readiness"
	"eelgrassladder.example/eelgrassladder/platform/registry"
	"eelgrassladder.example/eelgrassladder/platform/store"
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
	if err := journal.Start(os.Stdout, s.LogLevel); err != nil {
		return err
	}
	defer klog.Flush()
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	stopping, cancel := command.Interrupted()
	defer cancel()
	return node.New(s, platformParts(s)).Run(stopping)
}

// platformParts returns the adapter of the users' platform.
func platformParts(s settings.Node) node.Parts {
	measures := prometheus.NewRegistry()
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "eelgrassladder_platform_calls_total", Help: "Calls to the platform.",
	}, []string{"Method", "Result"})
	measures.MustRegister(calls)
	return node.Parts{
		Store: store.New(s.Store, calls), Promoter: duty.New(s.Promotion, s.Name), Connector: endpoint.NewConnector(),
		Registry: registry.Registry{}, Clock: clock.Host{}, Observer: gateway.NewLog(),
		Front: func(g *gateway.Gateway, t eelgrassladder.Timer, tasks *task.Group) node.Front {
			return caller.New(g, t, tasks, s.Descriptors)
		},
		Readiness: func(ready func() bool) http.Handler { return readiness.Handler(ready, measures) },
	}
}
