package main

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/host/settings"
)

const (
	// program and role are the command of the deploy file, which is run in the root of the
	// repository.
	program = "target/eelgrassladder"
	role    = "node"
	// settingsVariable is the variable with the path of the settings.
	settingsVariable = "EELGRASSLADDER_NODE_FILE"
	// restartDelay is how long after its end the platform starts a process again.
	restartDelay = 300 * time.Millisecond
	// readyTimeout bounds the start of a proxy.
	readyTimeout = 10 * time.Second
)

// proxy is a proxy as a process of its own, which is started again whenever it ends.
type proxy struct {
	settings settings.Node
	file     string
	client   http.Client

	// mutex guards the fields below. No other lock is taken while it is held.
	mutex   sync.Mutex
	running *os.Process
	// held is true while the platform does not start the process again.
	held bool
}

// addProxy starts a proxy with the settings that the platform fills in for a host of the
// small deployment, with loopback addresses and free ports, and waits until it is ready.
func (d *deployment) addProxy(name, zone string, change func(*settings.Node)) (*proxy, error) {
	s := d.bed.Settings(name)
	s.DataCentre, s.GraceSeconds, s.Descriptors, s.MemoryMegabytes = zone, 6, 4200, 284
	s.Contracts = []string{"base", "drain", "config", "cost", "recover", "sql", "platform"}
	if change != nil {
		change(&s)
	}
	s, err := d.bed.ReserveAddresses(s)
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(s)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	p := &proxy{settings: s, file: filepath.Join(d.folder, name+".hujson"), client: http.Client{Timeout: time.Second}}
	if err := os.WriteFile(p.file, text, 0o600); err != nil {
		return nil, errors.WithStack(err)
	}
	d.tasks.Go("proxy "+name, func(ctx context.Context) error { return p.run(ctx, filepath.Join(d.folder, name+".log")) })
	return p, p.awaitReady(d)
}

// run keeps the process running until ctx ends, and then kills it.
func (p *proxy) run(ctx context.Context, logFile string) error {
	log, err := os.Create(logFile)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = log.Close() }()
	for ctx.Err() == nil {
		if p.isHeld() {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		command := exec.CommandContext(ctx, program, role)
		command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", settingsVariable + "=" + p.file}
		command.Stdout, command.Stderr = log, log
		if err := command.Start(); err != nil {
			return errors.WithStack(err)
		}
		p.setRunning(command.Process)
		_ = command.Wait() // it ends by a signal; its log says why
		p.setRunning(nil)
		time.Sleep(restartDelay)
	}
	return ctx.Err()
}

// hold sets whether the platform leaves the process down once it has ended.
func (p *proxy) hold(held bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.held = held
}

// isHeld reports whether the platform leaves the process down.
func (p *proxy) isHeld() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.held
}

func (p *proxy) setRunning(process *os.Process) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.running = process
}

// signal sends a signal to the process, if it runs.
func (p *proxy) signal(s syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.running != nil {
		_ = p.running.Signal(s) // it may have ended meanwhile
	}
}

// residentMegabytes returns the memory of the process in MiB; zero if it does not run.
func (p *proxy) residentMegabytes() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.running == nil {
		return 0
	}
	status, _ := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.running.Pid), "status")) // empty once it has ended
	for _, line := range strings.Split(string(status), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(value, "kB")))
			return kilobytes / 1024
		}
	}
	return 0
}

// ready reports whether the process answers the readiness probe with 200.
func (p *proxy) ready() bool {
	response, err := p.client.Get("http://" + p.settings.Readiness + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the process is ready.
func (p *proxy) awaitReady(d *deployment) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); d.pause(5 * time.Millisecond) {
		if p.ready() {
			return nil
		}
	}
	return errors.Errorf("proxy %s is not ready after %v", p.settings.Name, readyTimeout)
}
