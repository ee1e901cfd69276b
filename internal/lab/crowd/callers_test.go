package crowd_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"eelgrassladder.example/eelgrassladder/internal/lab/testbed"
)

const (
	// largeMessage is the length of a message that is nearly as long as the limit of the
	// platform, 1 MiB.
	largeMessage = 1<<20 - 64
	// largeMessages is how many large messages a client sends without reading the answers.
	largeMessages = 20
)

// defaultLimits are the limits of most tests. They are below those of all machines, so that
// a small crowd is enough.
var defaultLimits = limits{megabytes: 96, descriptors: 1000}

// TestALargestMessageIsServedWhenCalm guards against limits that reject a single message
// which the protocol allows.
func TestALargestMessageIsServedWhenCalm(t *testing.T) {
	p := startProxy(t, defaultLimits)
	value := strings.Repeat("a", largeMessage-200)
	p.await(t, "a large write", func() error { return do(p.settings.Callers, "WRITE large "+value) })
	p.await(t, "a large value and a large answer", func() error {
		c, err := testbed.Dial(p.settings.Callers, ordinaryDatabase)
		if err != nil {
			return err
		}
		defer c.Close()
		if answer, err := c.Do("SET large " + value); err != nil || !answer.OK() {
			return fmt.Errorf("SET was answered %q, error %v", answer.Code, err)
		}
		answer, err := c.Do("READ large")
		if err != nil || !answer.OK() || len(answer.Rows) != 1 || answer.Rows[0] != value {
			return fmt.Errorf("READ was answered %q with %d rows, error %v", answer.Code, len(answer.Rows), err)
		}
		return nil
	})
	p.verify(t)
}

// TestLargeMessagesThatStop guards against a buffer for each client that grows up to the
// limit of a message.
func TestLargeMessagesThatStop(t *testing.T) {
	p := startProxy(t, defaultLimits)
	message := query("q", "READ ", largeMessage)
	p.play(p.settings.Callers, 150, func(v *visitor) {
		if v.open() {
			v.send(message[:len(message)-2])
		}
	})
	p.verify(t)
}

// TestPipelinedLargeMessages guards against whole messages, and statements that wait, which
// are kept for clients that do not read the answers.
func TestPipelinedLargeMessages(t *testing.T) {
	p := startProxy(t, defaultLimits)
	message := query("q", "READ ", largeMessage)
	p.play(p.settings.Callers, 150, func(v *visitor) {
		sent := v.open()
		for i := 0; sent && i < largeMessages; i++ {
			sent = v.send(message)
		}
	})
	p.verify(t)
}

// TestPipelinedLargeMessagesInSmallPieces guards against the same as
// TestPipelinedLargeMessages where each read returns little.
func TestPipelinedLargeMessagesInSmallPieces(t *testing.T) {
	p := startProxy(t, defaultLimits)
	message := query("q", "READ ", largeMessage)
	p.play(p.settings.Callers, 150, func(v *visitor) {
		sent := v.open()
		for i := 0; sent && i < largeMessages; i++ {
			sent = v.sendPieces(message, 4000)
		}
	})
	p.verify(t)
}

// TestLargeSessionValues guards against session values without a bound.
func TestLargeSessionValues(t *testing.T) {
	p := startProxy(t, defaultLimits)
	p.play(p.settings.Callers, 100, func(v *visitor) {
		sent := v.open()
		v.discard()
		for i := 0; sent && i < 40; i++ {
			sent = v.send(query("q", fmt.Sprintf("SET name-%d ", i), 200_000))
		}
	})
	p.verify(t)
}

// TestManyPreparedStatements guards against prepared statements without a bound.
func TestManyPreparedStatements(t *testing.T) {
	p := startProxy(t, defaultLimits)
	p.play(p.settings.Callers, 100, func(v *visitor) {
		sent := v.open()
		v.discard()
		for i := 0; sent && i < 1000; i += 20 {
			var messages []byte
			for j := range 20 {
				messages = append(messages, query("q", fmt.Sprintf("PREPARE name-%d READ ", i+j), 3000)...)
			}
			sent = v.send(messages)
		}
	})
	p.verify(t)
}

// TestMessagesFarOverTheLimit guards against buffering a message that is rejected anyway.
func TestMessagesFarOverTheLimit(t *testing.T) {
	p := startProxy(t, defaultLimits)
	part := bytes.Repeat([]byte("a"), 1<<20)
	p.play(p.settings.Callers, 150, func(v *visitor) {
		sent := v.open() && v.send([]byte("QUERY q READ ")) && v.sendPausing(part[:largeMessage])
		for i := 0; sent && i < 64; i++ {
			sent = v.send(part)
		}
	})
	p.verify(t)
}

// TestLinesWithoutAnEnd guards against buffering a line without an end, after CONNECT and
// before it, where the client is not known yet.
func TestLinesWithoutAnEnd(t *testing.T) {
	for _, test := range []struct {
		name string
		// opened is true for lines after CONNECT.
		opened bool
		// part is repeated until the process takes no more. LF alone does not end a message.
		part string
	}{
		{"first message", false, "a"},
		{"later message", true, "a"},
		{"line feeds", true, "a\n"},
		{"NULs", false, "\x00"},
		{"NULs in a statement", true, "\x00"},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := startProxy(t, defaultLimits)
			// The line stops short of the limit: a longer one is rejected.
			line := []byte(strings.Repeat(test.part, largeMessage/len(test.part)))
			p.play(p.settings.Callers, 150, func(v *visitor) {
				if !test.opened || v.open() {
					v.send(line)
				}
			})
			p.verify(t)
		})
	}
}

// TestMessagesOfNULs guards against statements of NULs that end the process or are kept.
func TestMessagesOfNULs(t *testing.T) {
	p := startProxy(t, defaultLimits)
	message := append(bytes.Repeat([]byte{0}, largeMessage-200), "\r\n"...)
	statement := append([]byte("QUERY q "), message...)
	p.play(p.settings.Callers, 150, func(v *visitor) {
		switch v.index % 3 {
		case 0:
			v.sendPausing(message)
		case 1:
			_ = v.open() && v.sendPausing(message)
		default:
			sent := v.open() && v.sendPausing(statement)
			for i := 0; sent && i < largeMessages; i++ {
				sent = v.send(statement)
			}
		}
	})
	p.verify(t)
}

// TestTransactionsLeftOpen guards against idle transactions that take all connections of the
// endpoints, or memory without a bound.
func TestTransactionsLeftOpen(t *testing.T) {
	p := startProxy(t, defaultLimits)
	write := query("q", "WRITE item ", 200_000)
	p.play(p.settings.Callers, 300, func(v *visitor) {
		if !v.open() {
			return
		}
		v.discard()
		sent := v.send([]byte("QUERY q BEGIN\r\n"))
		switch v.index % 3 {
		case 0:
			_ = sent && v.send([]byte("QUERY q READ item\r\n"))
		case 1:
			_ = sent && v.send(write)
		}
	})
	p.verify(t)
}

// TestConnectionsWithoutConnect guards against more connections than descriptors.
func TestConnectionsWithoutConnect(t *testing.T) {
	p := startProxy(t, limits{megabytes: 96, descriptors: 700})
	p.play(p.settings.Callers, 1000, func(*visitor) {})
	p.verify(t)
}

// TestIdleSessions guards against more sessions than descriptors and memory allow. Idle
// sessions are ordinary, and need not make room for others: new clients may be refused while
// all are there.
func TestIdleSessions(t *testing.T) {
	p := startProxy(t, limits{megabytes: 96, descriptors: 700})
	p.play(p.settings.Callers, 1000, func(v *visitor) { v.open() })
	p.verifyAfter(t)
}

// TestHalfClosedConnections guards against sessions that stay when the client sends no more,
// and against answers that are kept for it.
func TestHalfClosedConnections(t *testing.T) {
	p := startProxy(t, defaultLimits)
	message := query("q", "READ ", largeMessage)
	reads := bytes.Repeat([]byte("QUERY q READ item\r\n"), 50)
	p.play(p.settings.Callers, 300, func(v *visitor) {
		switch v.index % 4 {
		case 0: // nothing is sent at all
		case 1:
			v.open()
		case 2:
			_ = v.open() && v.send(reads)
		default:
			_ = v.open() && v.send(message[:len(message)/2])
		}
		_ = v.CloseWrite()
	})
	p.verify(t)
}

// TestUnreadLargeAnswers guards against answers that the process makes as long as the message,
// and keeps for clients which do not read them.
func TestUnreadLargeAnswers(t *testing.T) {
	p := startProxy(t, defaultLimits)
	message := query("q", "EXECUTE ", largeMessage) // the answer repeats the unknown name
	p.play(p.settings.Callers, 150, func(v *visitor) {
		sent := v.open()
		for i := 0; sent && i < largeMessages; i++ {
			sent = v.send(message)
		}
	})
	p.verify(t)
}

// TestSlowReadersOfLargeAnswers guards against large answers that are kept for clients which
// read one byte a second.
func TestSlowReadersOfLargeAnswers(t *testing.T) {
	p := startProxy(t, defaultLimits)
	p.await(t, "the write of a large item", func() error {
		return do(p.settings.Callers, "WRITE large "+strings.Repeat("a", 900_000))
	})
	// An answer or two fit into the buffers of the kernel. One read per second and client
	// leaves the endpoints the time to answer them all.
	databases := []string{ordinaryDatabase, "bounded-0"}
	p.play(p.settings.Callers, 150, func(v *visitor) {
		if v.openDatabase(databases[v.index%2]) {
			time.Sleep(time.Duration(v.index) * time.Second / 150)
			v.sendSlowly("QUERY q READ large\r\n")
			v.readSlowly()
		}
	})
	time.Sleep(largeAnswersTime)
	p.verify(t)
}
