package testbed

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"eelgrassladder.example/eelgrassladder/internal/lab/line"
	"eelgrassladder.example/eelgrassladder/internal/lab/member"
)

// AnswerTimeout is how long a Client waits for a line.
const AnswerTimeout = 15 * time.Second

// statementCount counts the statements of all clients. NextID derives the IDs of statements
// from it, which are therefore unique in the process.
var statementCount atomic.Uint64

// Answer is the answer to a statement. It is immutable.
type Answer struct {
	// ID is the ID of the statement.
	ID   string
	Rows []string
	// Signature shows which member ran the statement; "-" for a statement that
	// needs none.
	Signature string
	// Code is the error code; empty for success.
	Code string
	// State is the state of the session: I for idle, T in a transaction, E in a
	// failed transaction.
	State string
}

// OK reports whether the statement succeeded.
func (a Answer) OK() bool { return a.Code == "" }

// Client is a connection to a proxy or a member in the platform's line protocol.
// One goroutine at a time uses it.
type Client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// Dial connects to an address and opens a session for a database. It fails if the
// connection takes longer than a second, or the session is refused.
func Dial(address, database string) (*Client, error) { return DialAs(address, database, "tester") }

// DialMember connects to a member as its endpoint's callers do. The member's ID must not
// change meanwhile.
func DialMember(m *member.Member) (*Client, error) {
	return DialAs(m.Address, m.Group(), "tester "+m.ID)
}

// DialAs is Dial for a client that identifies itself with a key.
func DialAs(address, database, key string) (*Client, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	client := &Client{conn: conn, reader: bufio.NewReader(conn)}
	if err := client.Send("CONNECT " + database + " " + key); err != nil {
		return nil, err
	}
	greeting, err := client.ReadLine()
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(greeting, "READY I") {
		client.Close()
		return nil, errors.Errorf("open a session for database %s at %s: unexpected answer %q", database, address, greeting)
	}
	return client, nil
}

// Send writes one message.
func (c *Client) Send(message string) error {
	_, err := c.conn.Write([]byte(message + line.End))
	return errors.WithStack(err)
}

// ReadLine reads one message and returns it without its end. It fails after AnswerTimeout.
func (c *Client) ReadLine() (string, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(AnswerTimeout)); err != nil {
		return "", errors.WithStack(err)
	}
	message, err := line.Read(c.reader)
	return message, errors.WithStack(err)
}

// NextID returns the ID for the next statement.
func NextID() string { return fmt.Sprintf("q%d", statementCount.Add(1)) }

// Do runs a statement under the next ID; see DoAs.
func (c *Client) Do(text string) (Answer, error) { return c.DoAs(NextID(), text) }

// DoAs runs a statement under an ID and reads its whole answer. The error is nil for a
// statement that the other side refused; see Answer.Code.
func (c *Client) DoAs(id, text string) (Answer, error) {
	a := Answer{ID: id}
	if err := c.Send("QUERY " + a.ID + " " + text); err != nil {
		return a, err
	}
	for {
		message, err := c.ReadLine()
		if err != nil {
			return a, err
		}
		kind, rest, _ := strings.Cut(message, " ")
		switch kind {
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
			return a, errors.Errorf("answer to statement %s: unexpected message %q", a.ID, message)
		}
	}
}

// Close ends the connection.
func (c *Client) Close() { _ = c.conn.Close() }
