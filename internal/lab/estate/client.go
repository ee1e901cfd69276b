package estate

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// statementCount counts the statements of all clients, so that no two share an ID.
var statementCount atomic.Uint64

// Answer is what a client was told.
type Answer struct {
	// ID is the statement's.
	ID string
	// Rows are the rows.
	Rows []string
	// Signature is the member's proof, or "-".
	Signature string
	// Code is empty for success.
	Code string
	// State is I, T or E.
	State string
}

// OK reports whether the statement succeeded.
func (a Answer) OK() bool { return a.Code == "" }

// Client is a client of a proxy. One goroutine at a time uses it.
type Client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// Dial opens a session for a database.
func Dial(address, database string) (*Client, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	client := &Client{conn: conn, reader: bufio.NewReader(conn)}
	if err := client.Send("CONNECT " + database + " tester"); err != nil {
		return nil, err
	}
	line, err := client.Line()
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(line, "READY I") {
		client.Close()
		return nil, errors.New(line)
	}
	return client, nil
}

// Send writes one line.
func (c *Client) Send(line string) error {
	_, err := c.conn.Write([]byte(line + "\r\n"))
	return errors.WithStack(err)
}

// Line reads one line.
func (c *Client) Line() (string, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return "", errors.WithStack(err)
	}
	line, err := c.reader.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), errors.WithStack(err)
}

// Do runs a statement and reads its whole answer.
func (c *Client) Do(text string) (Answer, error) {
	a := Answer{ID: fmt.Sprintf("q%d", statementCount.Add(1))}
	if err := c.Send("QUERY " + a.ID + " " + text); err != nil {
		return a, err
	}
	for {
		line, err := c.Line()
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			a.Rows = append(a.Rows, rest)
		case "COMPLETE":
			a.Signature = rest
		case "ERROR":
			a.Code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.State, _, _ = strings.Cut(rest, " ")
			return a, nil
		default:
			return a, errors.Errorf("unexpected message %q", line)
		}
	}
}

// Close ends the connection.
func (c *Client) Close() { _ = c.conn.Close() }
