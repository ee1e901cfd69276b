package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
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
