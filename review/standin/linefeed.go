package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/lab/testbed"
)

const (
	// lineEnd ends a message of the platform's line protocol.
	lineEnd = "\r\n"
	// answerTimeout is how long a client waits for an answer.
	answerTimeout = 3 * time.Second
)

// wiretap relays the connections to members and remembers the queries in them.
type wiretap struct {
	run *run

	// mutex guards the field below. No other lock is taken while it is held.
	mutex sync.Mutex
	// queries holds the messages with an identifier of a client, as a member receives
	// them: without CONNECT, and without the queries of the proxy itself.
	queries []string
}

// lineFeed has clients write data with a line feed in it, which is not the end of a
// message, and compares what the members receive with what was sent.
func lineFeed(ctx context.Context, r *run) (bool, error) {
	tap := &wiretap{run: r}
	plan := testbed.DefaultPlan()
	plan.AdvertisedAddress = func(_, address string) (string, error) { return tap.relay(address) }
	bed, err := testbed.New(r.tasks, plan)
	if err != nil {
		return false, err
	}
	r.bed = bed
	proxies, err := r.startProxies(ctx, 2)
	defer stopProxies(proxies)
	if err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	separator := " "
	if r.trouble {
		separator = "\n"
	}
	sent := map[string]bool{}
	for i, text := range []string{
		"WRITE note-1 please repaint" + separator + "the left ear",
		"WRITE note-2 first line" + separator + "QUERY b1 WRITE note-3 never asked for",
	} {
		message := fmt.Sprintf("QUERY a%d %s", i, text)
		sent[message] = true
		if err := r.sendOne(proxies[i%len(proxies)], message); err != nil {
			return false, err
		}
	}
	return tap.unasked(sent), nil
}

// sendOne sends one message in a session of its own and records what comes back.
func (r *run) sendOne(p *proxy, message string) error {
	conn, err := net.DialTimeout("tcp4", p.settings.Callers, time.Second)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	reader := bufio.NewReader(conn)
	if _, err := conn.Write([]byte("CONNECT primary-0 tester" + lineEnd)); err != nil {
		return errors.WithStack(err)
	}
	greeting, err := reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(greeting, "READY I") {
		return errors.Errorf("no session: %q, %v", greeting, err)
	}
	r.record.add("client sends one message: %q", message+lineEnd)
	if _, err := conn.Write([]byte(message + lineEnd)); err != nil {
		return errors.WithStack(err)
	}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return nil
		}
		r.record.add("client receives %q", line)
	}
}

// relay starts a relay to a member and returns its address.
func (w *wiretap) relay(target string) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", errors.WithStack(err)
	}
	tasks := w.run.tasks
	context.AfterFunc(tasks.Context(), func() { _ = listener.Close() })
	tasks.GoIsolated("wiretap", func(context.Context) {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			tasks.GoIsolated("tapped connection", func(ctx context.Context) { w.serve(ctx, client, target) })
		}
	})
	return listener.Addr().String(), nil
}

// serve relays one connection until a side closes it.
func (w *wiretap) serve(ctx context.Context, client net.Conn, target string) {
	defer func() { _ = client.Close() }()
	member, err := net.DialTimeout("tcp4", target, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = member.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = client.Close() })
	defer stop()
	w.run.tasks.GoIsolated("answers of a member", func(context.Context) {
		buffer := make([]byte, 16<<10)
		for {
			n, err := member.Read(buffer)
			if _, writeErr := client.Write(buffer[:n]); err != nil || writeErr != nil {
				_ = client.Close()
				return
			}
		}
	})
	reader := bufio.NewReader(client)
	message := ""
	for {
		part, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if message += part; !strings.HasSuffix(message, lineEnd) {
			continue
		}
		w.note(strings.TrimSuffix(message, lineEnd))
		if _, err := member.Write([]byte(message)); err != nil {
			return
		}
		message = ""
	}
}

// note remembers a query with a client's identifier.
func (w *wiretap) note(message string) {
	if !strings.HasPrefix(message, "QUERY ") || strings.HasPrefix(message, "QUERY - ") {
		return
	}
	w.run.record.add("a member receives %q", message)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.queries = append(w.queries, message)
}

// unasked reports whether a member received a query that no client sent, or with another
// text.
func (w *wiretap) unasked(sent map[string]bool) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	found := false
	for _, q := range w.queries {
		if !sent[q] {
			found = true
			w.run.record.add("no client sent %q", q)
		}
	}
	return found
}
