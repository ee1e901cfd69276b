package soak

import (
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/host/settings"
)

// restartDelay is the time that the platform takes to start an ended process again.
const restartDelay = 300 * time.Millisecond

// process is a proxy in an operating system process of its own. It is started again
// whenever it ends.
type process struct {
	settings settings.Node
	// callerAddress is the address of the relay through which clients connect.
	callerAddress string
	binary        string
	settingsFile  string
	log           *os.File

	// mutex guards the fields below. No other lock is taken while it is held.
	mutex sync.Mutex
	// running is nil while the process does not run.
	running *os.Process
	starts  int
	// stopped is true from SIGSTOP to SIGCONT, and disrupted is the time of the last start
	// or signal.
	stopped   bool
	disrupted time.Time
	// ending is true from a signal that ends the process to its next start.
	ending bool
	// spans records when the process does not run, is stopped or ends, and disturbed is true
	// meanwhile.
	spans     *spans
	disturbed bool
}

// newProcess returns a proxy that is not started yet, with the store at an address
// and free ports to listen on. It writes the settings and creates the log in the
// folder.
func newProcess(s settings.Node, store, binary, folder string, disturbances *spans) (*process, error) {
	name := s.Name
	s.Store = store
	for _, a := range []*string{&s.Callers, &s.Readiness, &s.Metrics, &s.Sibling} {
		address, err := used.address()
		if err != nil {
			return nil, err
		}
		*a = address
	}
	text, err := json.Marshal(s)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	p := &process{settings: s, binary: binary, settingsFile: filepath.Join(folder, name+".hujson"), spans: disturbances}
	if err := os.WriteFile(p.settingsFile, text, 0o600); err != nil {
		return nil, errors.WithStack(err)
	}
	p.log, err = os.Create(filepath.Join(folder, name+".log"))
	return p, errors.WithStack(err)
}

// run keeps the process running until ctx ends, and then kills it.
func (p *process) run(ctx context.Context) error {
	defer func() { _ = p.log.Close() }()
	for ctx.Err() == nil {
		command := exec.CommandContext(ctx, p.binary, "node", "--settings", p.settingsFile)
		command.Stdout, command.Stderr = p.log, p.log
		if err := command.Start(); err != nil {
			return errors.WithStack(err)
		}
		p.mutex.Lock()
		p.running = command.Process
		p.starts++
		p.stopped, p.ending, p.disrupted = false, false, time.Now()
		p.recordSpan()
		p.mutex.Unlock()
		_ = command.Wait() // the process ends by a signal; its log says why
		p.mutex.Lock()
		p.running = nil
		p.recordSpan()
		p.mutex.Unlock()
		pause := time.NewTimer(restartDelay)
		select {
		case <-ctx.Done():
		case <-pause.C:
		}
		pause.Stop()
	}
	return ctx.Err()
}

// signal sends a signal to the process. It does nothing while the process does not
// run.
func (p *process) signal(s syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.running != nil {
		_ = p.running.Signal(s) // the process may have ended meanwhile
		p.stopped = s == syscall.SIGSTOP || (p.stopped && s != syscall.SIGCONT)
		p.ending = p.ending || s == syscall.SIGTERM || s == syscall.SIGKILL
		p.disrupted = time.Now()
		p.recordSpan()
	}
}

// undisturbed reports whether the process runs, and no signal has stopped it or told it to end.
func (p *process) undisturbed() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return !p.isDisturbed()
}

// isDisturbed reports whether the process does not run, is stopped or ends. The caller holds the
// mutex.
func (p *process) isDisturbed() bool { return p.running == nil || p.stopped || p.ending }

// recordSpan records the begin or the end of a disturbance. The caller holds the mutex.
func (p *process) recordSpan() {
	now := p.isDisturbed()
	if now == p.disturbed {
		return
	}
	p.disturbed = now
	if now {
		p.spans.begin(p.settings.Name)
	} else {
		p.spans.end(p.settings.Name)
	}
}

// startCount returns how often the process was started.
func (p *process) startCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.starts
}

// calmSince reports whether the process has run from a time until now, without a signal.
func (p *process) calmSince(t time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.running != nil && !p.stopped && p.disrupted.Before(t)
}
