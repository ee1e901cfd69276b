package testbed

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ids counts the statements of all clients, so that no two share an ID.
var ids atomic.Uint64

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
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	made := &Client{conn: c, reader: bufio.NewReader(c)}
	if err := made.Send("CONNECT " + database + " tester"); err != nil {
		return nil, err
	}
	line, err := made.ReadLine()
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(line, "READY I") {
		made.Close()
		return nil, errors.New(line)
	}
	return made, nil
}

// Send writes one line.
func (c *Client) Send(line string) error {
	_, err := c.conn.Write([]byte(line + "\r\n"))
	return errors.WithStack(err)
}

// ReadLine reads one line.
func (c *Client) ReadLine() (string, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return "", errors.WithStack(err)
	}
	line, err := c.reader.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), errors.WithStack(err)
}

// Do runs a statement and reads its whole answer.
func (c *Client) Do(text string) (Answer, error) {
	a := Answer{ID: fmt.Sprintf("q%d", ids.Add(1))}
	if err := c.Send("QUERY " + a.ID + " " + text); err != nil {
		return a, err
	}
	for {
		line, err := c.ReadLine()
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
