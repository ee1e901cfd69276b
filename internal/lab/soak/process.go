package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/host/settings"
)

// restartDelay is how long the platform takes to start a process again.
const restartDelay = 300 * time.Millisecond

// process is a proxy that runs as a process of its own and is started again
// when it ends.
type process struct {
	settings settings.Node
	// callerAddress is where clients connect to.
	callerAddress string
	binary        string
	settingsFile  string
	log           *os.File

	// mutex guards the fields below. It is a leaf.
	mutex   sync.Mutex
	running *os.Process
	starts  int
}

// newProcess writes the settings of a proxy on free ports that reaches the
// store at an address.
func newProcess(s settings.Node, store, binary, folder string) (*process, error) {
	name := s.Name
	s.Store = store
	for _, a := range []*string{&s.Callers, &s.Readiness, &s.Metrics, &s.Sibling} {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*a = address
	}
	text, err := json.Marshal(s)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	p := &process{settings: s, binary: binary, settingsFile: filepath.Join(folder, name+".hujson")}
	if err := os.WriteFile(p.settingsFile, text, 0o600); err != nil {
		return nil, errors.WithStack(err)
	}
	p.log, err = os.Create(filepath.Join(folder, name+".log"))
	return p, errors.WithStack(err)
}

// The ports of processes lie below those that the kernel gives to outgoing
// connections, which could take one before its process listens.
const (
	firstPort = 20000
	lastPort  = 32000
	portTries = 100
)

// usedPorts holds the ports that freeAddress has returned; a process that has one
// may not listen on it yet.
var usedPorts sync.Map

// freeAddress returns an address of loopback that nobody listens on, and that
// it has not returned before.
func freeAddress() (string, error) {
	lastErr := errors.New("all ports are taken")
	for range portTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if _, taken := usedPorts.LoadOrStore(port, true); taken {
			continue
		}
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			lastErr = err
			continue
		}
		address := l.Addr().String()
		return address, errors.WithStack(l.Close())
	}
	return "", errors.WithStack(lastErr)
}

// run keeps the process running until ctx ends, and then ends it.
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
		p.mutex.Unlock()
		_ = command.Wait() // processes end by signals here; the log tells why
		p.mutex.Lock()
		p.running = nil
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

// signal sends a signal to the process, if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.running != nil {
		_ = p.running.Signal(s) // it may have ended meanwhile
	}
}
