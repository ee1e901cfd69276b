package main

import (
	"bufio"
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/lab/line"
	"eelgrassladder.example/eelgrassladder/internal/lab/relay"
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

// relay starts a relay to a member and returns its address.
func (w *wiretap) relay(target string) (string, error) {
	return relay.Listen(w.run.tasks, func(ctx context.Context, client net.Conn) { w.serve(ctx, client, target) })
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
	for {
		message, err := line.Read(reader)
		if err != nil {
			return
		}
		w.note(message)
		if _, err := member.Write([]byte(message + line.End)); err != nil {
			return
		}
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
