package crowd_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/host/settings"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/lab/crowd"
	"eelgrassladder.example/eelgrassladder/internal/lab/testbed"
)

const (
	// actTime is how long the clients of a crowd act at most. Those whose bytes are not
	// taken or answered until then go on holding their connections.
	actTime = 1500 * time.Millisecond
	// settleTime is how long the crowd stays after it has acted, before anything is checked.
	// The process then has accepted and read what the kernel still held.
	settleTime = 500 * time.Millisecond
	// largeAnswersTime is how long the endpoints take to answer a crowd that asks for large
	// answers, one after the other.
	largeAnswersTime = 4 * time.Second
	// servedLimit is how long an ordinary client tries until it is served. It only guards
	// against hanging: it is above every timeout that may have to end before, such as the
	// 5 s for a first message and the 15 s for an idle transaction of a caller.
	servedLimit = 40 * time.Second
	// retryPause is the pause before an ordinary client tries again.
	retryPause = 50 * time.Millisecond
	// receiveBytes is the receive buffer of a crowd's connections. It is small, so that
	// answers which are not read stay in the process and not in the kernel.
	receiveBytes = 4096
	// ordinaryDatabase is the database of the ordinary client.
	ordinaryDatabase = "primary-0"
)

// program is the file of the program, which TestMain builds.
var program string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	program, err = crowd.Build(folder)
	if err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// limits are the limits in the settings of a process.
type limits struct {
	megabytes, descriptors int
}

// fixture is a process under test, with the crowd of its clients.
type fixture struct {
	process *crowd.Process
	limits  limits
	tasks   *task.Group
	// served runs one ordinary request; it returns an error if that is not served.
	served func() error

	// mutex guards crowd. No other lock is taken while it is held.
	mutex sync.Mutex
	// crowd holds the open connections of the crowd.
	crowd []*visitor
}

// proxy is a fixture for a proxy on a simulated platform.
type proxy struct {
	*fixture
	settings settings.Node
}

// newFixture returns a fixture without a process, whose tasks end with the test.
func newFixture(t *testing.T, l limits) *fixture {
	t.Helper()
	f := &fixture{limits: l, tasks: task.New(context.Background())}
	t.Cleanup(func() {
		f.leave()
		f.tasks.Stop()
		_ = f.tasks.Wait()
	})
	return f
}

// startProxy starts a proxy beside a simulated platform, and waits until it serves.
func startProxy(t *testing.T, l limits) *proxy {
	t.Helper()
	f := newFixture(t, l)
	simulation, err := testbed.New(f.tasks, testbed.DefaultPlan())
	assert.NilError(t, err)
	s, err := simulation.ReserveAddresses(simulation.Settings("proxy-0"))
	assert.NilError(t, err)
	s.MemoryMegabytes, s.Descriptors = l.megabytes, l.descriptors
	s.Contracts = []string{} // settings refuse null
	text, err := json.Marshal(s)
	assert.NilError(t, err)
	file := filepath.Join(t.TempDir(), "node.hujson")
	assert.NilError(t, os.WriteFile(file, text, 0o600))
	f.process, err = crowd.Start(f.tasks, file+".log", program, "node", "--settings", file)
	assert.NilError(t, err)
	f.served = func() error { return do(s.Callers, "READ ordinary") }
	f.awaitService(t, "before the crowd")
	if t.Failed() {
		t.Fatalf("the process did not start:\n%s", f.process.Tail())
	}
	return &proxy{fixture: f, settings: s}
}

// do runs a statement in a session of its own.
func do(address, text string) error {
	c, err := testbed.Dial(address, ordinaryDatabase)
	if err != nil {
		return err
	}
	defer c.Close()
	answer, err := c.Do(text)
	if err != nil {
		return err
	}
	if !answer.OK() {
		return fmt.Errorf("%.40s was answered %s", text, answer.Code)
	}
	return nil
}

// get sends a GET request and fails unless the answer has the status 200.
func get(address, path string) error {
	client := http.Client{Timeout: servedLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s was answered %s", path, response.Status)
	}
	return nil
}

// awaitService fails the test unless an ordinary request is served within servedLimit. when
// is part of the failure's text.
func (f *fixture) awaitService(t *testing.T, when string) {
	t.Helper()
	f.await(t, "an ordinary request "+when, f.served)
}

// await fails the test unless request succeeds within servedLimit.
func (f *fixture) await(t *testing.T, name string, request func() error) {
	t.Helper()
	var err error
	for end := time.Now().Add(servedLimit); time.Now().Before(end); time.Sleep(retryPause) {
		if !f.process.Lives() {
			break
		}
		if err = request(); err == nil {
			return
		}
	}
	t.Errorf("%s was not served: %v", name, err)
}

// verify checks what must hold for every crowd: while it is connected and after it has left
// an ordinary request is served, the process lives, and it has stayed within its limits.
func (f *fixture) verify(t *testing.T) {
	t.Helper()
	time.Sleep(settleTime)
	f.awaitService(t, "while the crowd is connected")
	f.verifyAfter(t)
}

// verifyAfter is verify without the request while the crowd is connected.
func (f *fixture) verifyAfter(t *testing.T) {
	t.Helper()
	f.process.Measure()
	f.leave()
	f.awaitService(t, "after the crowd has left")
	usage := f.process.Measure()
	t.Logf("measured: peak memory %d of %d MB, descriptors %d of %d, lives %t",
		usage.PeakMegabytes, f.limits.megabytes, usage.Descriptors, f.limits.descriptors, f.process.Lives())
	if usage.PeakMegabytes >= f.limits.megabytes {
		t.Errorf("the peak memory of %d MB is not below the limit of %d MB", usage.PeakMegabytes, f.limits.megabytes)
	}
	if usage.Descriptors >= f.limits.descriptors {
		t.Errorf("%d open descriptors are not below the limit of %d", usage.Descriptors, f.limits.descriptors)
	}
	if !f.process.Lives() {
		t.Errorf("the process has ended:\n%s", f.process.Tail())
	}
}

// visitor is one client of a crowd.
type visitor struct {
	*net.TCPConn
	// index counts the clients of the crowd from zero.
	index int
	tasks *task.Group
}

// play has the clients of a crowd connect to an address and act at once. It returns when all
// have acted, at most actTime after they have begun. Their connections stay open until leave
// is called. Clients that the process refuses, or whose connection it closes, are not
// replaced.
func (f *fixture) play(address string, clients int, act func(*visitor)) {
	f.playAt([]string{address}, clients, act)
}

// playAt is play for a crowd whose clients are spread over the addresses in turn.
func (f *fixture) playAt(addresses []string, clients int, act func(*visitor)) {
	end := time.Now().Add(actTime)
	var acting sync.WaitGroup
	for i := range clients {
		acting.Add(1)
		f.tasks.GoIsolated("visitor", func(context.Context) {
			defer acting.Done()
			v := f.visit(addresses[i%len(addresses)], i, end)
			if v == nil {
				return
			}
			act(v)
			_ = v.SetDeadline(time.Time{})
		})
	}
	acting.Wait()
}

// visit connects a client to an address. It returns nil if that fails.
func (f *fixture) visit(address string, index int, end time.Time) *visitor {
	dialer := net.Dialer{Deadline: end, Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	connection, err := dialer.Dial("tcp4", address)
	if err != nil {
		return nil
	}
	v := &visitor{TCPConn: connection.(*net.TCPConn), index: index, tasks: f.tasks}
	f.mutex.Lock()
	f.crowd = append(f.crowd, v)
	f.mutex.Unlock()
	_ = v.SetDeadline(end)
	return v
}

// leave closes the connections of the crowd.
func (f *fixture) leave() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, v := range f.crowd {
		_ = v.Close()
	}
	f.crowd = nil
}

// open opens a session for the ordinary database and reports whether the process has
// accepted it.
func (v *visitor) open() bool { return v.openDatabase(ordinaryDatabase) }

// openDatabase is open for a database.
func (v *visitor) openDatabase(database string) bool {
	if !v.send([]byte("CONNECT " + database + " tester\r\n")) {
		return false
	}
	greeting := make([]byte, 0, 128)
	for !bytes.HasSuffix(greeting, []byte("\r\n")) {
		var b [1]byte
		if _, err := v.Read(b[:]); err != nil {
			return false
		}
		greeting = append(greeting, b[0])
	}
	return bytes.HasPrefix(greeting, []byte("READY"))
}

// send writes bytes and reports whether all were taken.
func (v *visitor) send(b []byte) bool {
	_, err := v.Write(b)
	return err == nil
}

// sendPausing writes bytes and reports whether all were taken. It pauses before the last tenth,
// so that the process holds the others of the whole crowd at one time.
func (v *visitor) sendPausing(b []byte) bool {
	last := len(b) - len(b)/10
	if !v.send(b[:last]) {
		return false
	}
	time.Sleep(actTime / 3)
	return v.send(b[last:])
}

// sendPieces writes bytes in pieces of a size and reports whether all were taken.
func (v *visitor) sendPieces(b []byte, size int) bool {
	for len(b) > 0 {
		n := min(size, len(b))
		if !v.send(b[:n]) {
			return false
		}
		b = b[n:]
	}
	return true
}

// discard reads and drops all that arrives, until the connection ends.
func (v *visitor) discard() {
	v.tasks.GoIsolated("reader", func(context.Context) {
		for {
			_, err := io.Copy(io.Discard, v.TCPConn)
			if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
				time.Sleep(retryPause) // the deadline of acting is removed soon
				continue
			}
			return
		}
	})
}

// readSlowly reads one byte per second until the connection ends.
func (v *visitor) readSlowly() {
	v.everySecond(func() error { _, err := v.Read(make([]byte, 1)); return err })
}

// sendSlowly sends the same bytes every second until the connection ends.
func (v *visitor) sendSlowly(b string) {
	v.everySecond(func() error { _, err := v.Write([]byte(b)); return err })
}

// everySecond calls transfer every second until it fails.
func (v *visitor) everySecond(transfer func() error) {
	v.tasks.GoIsolated("slow visitor", func(ctx context.Context) {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			_ = v.SetDeadline(time.Time{})
			if transfer() != nil {
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	})
}

// query returns the message of a statement whose length is the given number of bytes.
func query(id, text string, length int) []byte {
	start, end := "QUERY "+id+" "+text, "\r\n"
	return []byte(start + strings.Repeat("a", max(0, length-len(start)-len(end))) + end)
}
