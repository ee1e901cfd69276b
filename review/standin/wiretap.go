package main

import (
	"bufio"
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// wiretap relays the connections to members and remembers the queries in them.
type wiretap struct {
	run *run

	// mutex guards the fields below. No other lock is taken while it is held.
	mutex sync.Mutex
	// queries holds the messages with an identifier of a client, as a member receives
	// them: without CONNECT, and without the queries of the proxy itself.
	queries []string
	// shapes holds the shape that a member runs for each EXECUTE, by the identifier.
	shapes map[string]string
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
	message, prepared := "", map[string]string{}
	for {
		part, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if message += part; !strings.HasSuffix(message, lineEnd) {
			continue
		}
		w.note(strings.TrimSuffix(message, lineEnd), prepared)
		if _, err := member.Write([]byte(message)); err != nil {
			return
		}
		message = ""
	}
}

// note remembers a query with a client's identifier. The prepared shapes of the connection
// are keyed by name.
func (w *wiretap) note(message string, prepared map[string]string) {
	fields := strings.SplitN(message, " ", 6)
	if len(fields) < 3 || fields[0] != "QUERY" {
		return
	}
	if fields[2] == "RESET" {
		clear(prepared)
	}
	if len(fields) == 6 && fields[2] == "PREPARE" {
		prepared[fields[3]] = fields[5]
	}
	if fields[1] == "-" {
		return
	}
	w.run.record.add("a member receives %q", message)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.queries = append(w.queries, message)
	if fields[2] == "EXECUTE" {
		w.shapes[fields[1]] = prepared[fields[3]]
		w.run.record.add("the member has prepared the shape %q under the name %s", prepared[fields[3]], fields[3])
	}
}
