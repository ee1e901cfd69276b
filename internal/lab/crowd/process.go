// Package crowd runs the real program as a process and measures what it uses while clients
// misbehave. The tests play one crowd of such clients each, and run one at a time.
package crowd

import (
	"bufio"
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/host/task"
)

const (
	// sampleInterval is the time between two measurements of a process.
	sampleInterval = 20 * time.Millisecond
	// runawayMegabytes is the peak memory above which a process is killed. It is far above
	// every limit in the tests, and keeps a fault from taking the memory of the machine.
	runawayMegabytes = 2560
	// logTailBytes is how much of a log Tail returns.
	logTailBytes = 2000
)

// Usage is the most that a process has used so far. It is immutable.
type Usage struct {
	// PeakMegabytes is the peak of the resident memory (VmHWM) in MiB, rounded up.
	PeakMegabytes int
	// Descriptors is the highest number of open file descriptors that was seen.
	Descriptors int
}

// Process is a running program. Start makes one.
type Process struct {
	command *exec.Cmd
	log     string

	// mutex guards the fields below. No other lock is taken while it is held.
	mutex sync.Mutex
	usage Usage
	// ended is true once the process has ended, and killed once it was killed because its
	// memory was above runawayMegabytes.
	ended, killed bool
}

// Build builds the program in a folder and returns its file.
func Build(folder string) (string, error) {
	binary := filepath.Join(folder, "eelgrassladder")
	output, err := exec.Command("go", "build", "-o", binary, "eelgrassladder.example/eelgrassladder/cmd/eelgrassladder").CombinedOutput()
	return binary, errors.WithMessage(errors.WithStack(err), string(output))
}

// Start starts a program with its output in the file log. The process is killed when the
// task group ends.
func Start(g *task.Group, log, binary string, arguments ...string) (*Process, error) {
	output, err := os.Create(log)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	p := &Process{command: exec.CommandContext(g.Context(), binary, arguments...), log: log}
	p.command.Stdout, p.command.Stderr = output, output
	if err := p.command.Start(); err != nil {
		_ = output.Close()
		return nil, errors.WithStack(err)
	}
	sampling, stopSampling := context.WithCancel(context.Background())
	g.GoIsolated("wait for a process", func(context.Context) {
		defer stopSampling()
		_ = p.command.Wait() // it ends by a signal, or its log says why
		_ = output.Close()
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.ended = true
	})
	g.GoIsolated("measure a process", func(context.Context) { p.sample(sampling) })
	return p, nil
}

// sample measures the process until ctx ends.
func (p *Process) sample(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.Measure()
		}
	}
}

// Measure measures the process, and returns the most that it has used so far.
func (p *Process) Measure() Usage {
	folder := filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid))
	status, _ := os.ReadFile(filepath.Join(folder, "status")) // empty once the process has ended
	descriptors, _ := os.ReadDir(filepath.Join(folder, "fd")) // likewise
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.ended {
		return p.usage
	}
	p.usage = Usage{
		PeakMegabytes: max(p.usage.PeakMegabytes, peakMegabytes(status)),
		Descriptors:   max(p.usage.Descriptors, len(descriptors)),
	}
	if p.usage.PeakMegabytes > runawayMegabytes && !p.killed {
		p.killed = true
		_ = p.command.Process.Kill()
	}
	return p.usage
}

// Lives reports whether the process runs.
func (p *Process) Lives() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return !p.ended
}

// Tail returns the end of the log.
func (p *Process) Tail() string {
	text, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.killed {
		text = append(text, "\nkilled by the test because of its memory"...)
	}
	return string(text[max(0, len(text)-logTailBytes):])
}

// peakMegabytes returns VmHWM of the text of a status file in MiB, rounded up, or zero if it
// is not there.
func peakMegabytes(status []byte) int {
	lines := bufio.NewScanner(bytes.NewReader(status))
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), "VmHWM:"); ok {
			kilobytes, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return (kilobytes + 1023) / 1024
		}
	}
	return 0
}
