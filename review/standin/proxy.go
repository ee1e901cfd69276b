package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/host/settings"
	"eelgrassladder.example/eelgrassladder/internal/lab/testbed"
)

const (
	// readyTimeout bounds the start of a proxy.
	readyTimeout = 10 * time.Second
	// firstPort and lastPort bound the ports of proxies. They are below the range from
	// which the kernel takes the ports of outgoing connections.
	firstPort = 20000
	lastPort  = 32000
)

// proxy is a proxy that runs as a process, as the deploy file starts it.
type proxy struct {
	settings settings.Node
	command  *exec.Cmd
	log      *os.File
}

// startProxies starts proxies in zones of their own and waits until all are ready. Stop
// them with stopProxies, also after an error.
func (r *run) startProxies(ctx context.Context, count int) ([]*proxy, error) {
	var proxies []*proxy
	for i := range count {
		s := r.bed.Settings(fmt.Sprintf("front-%d", i))
		s.DataCentre, s.GraceSeconds, s.Descriptors, s.MemoryMegabytes = fmt.Sprintf("zone-%d", i%3), 6, 6300, 414
		p, err := r.startProxy(s)
		if p != nil {
			proxies = append(proxies, p)
		}
		if err != nil {
			return proxies, err
		}
	}
	for _, p := range proxies {
		if err := testbed.WaitFor(ctx, readyTimeout, p.ready); err != nil {
			return proxies, errors.WithMessage(err, "proxy "+p.settings.Name+" is not ready")
		}
	}
	return proxies, nil
}

// startProxy starts one proxy on free ports.
func (r *run) startProxy(s settings.Node) (*proxy, error) {
	for _, address := range []*string{&s.Callers, &s.Readiness, &s.Metrics, &s.Sibling} {
		free, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	text, err := json.Marshal(s)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	file := filepath.Join(r.folder, s.Name+".hujson")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, errors.WithStack(err)
	}
	log, err := os.Create(filepath.Join(r.folder, s.Name+".log"))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	p := &proxy{settings: s, command: exec.Command("target/eelgrassladder", "node"), log: log}
	p.command.Env = append(os.Environ(), "EELGRASSLADDER_NODE_FILE="+file)
	p.command.Stdout, p.command.Stderr = log, log
	// The proxy ends with the stand-in, even if that is killed.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		_ = log.Close()
		return nil, errors.WithStack(err)
	}
	r.record.add("proxy %s started as process %d, clients at %s", s.Name, p.command.Process.Pid, s.Callers)
	return p, nil
}

// ready asks the proxy as the platform's probe does.
func (p *proxy) ready() bool {
	response, err := http.Get("http://" + p.settings.Readiness + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stopProxies kills the proxies and waits until they have ended.
func stopProxies(proxies []*proxy) {
	for _, p := range proxies {
		_ = p.command.Process.Kill()
		_ = p.command.Wait() // it ends by the signal
		_ = p.log.Close()
	}
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() (string, error) {
	var err error
	for range 100 {
		var l net.Listener
		if l, err = net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))); err == nil {
			return l.Addr().String(), errors.WithStack(l.Close())
		}
	}
	return "", errors.WithMessage(err, "find a free port")
}
