package crowd_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/gen/peer"
	"eelgrassladder.example/eelgrassladder/internal/model/heartbeat"
	"eelgrassladder.example/eelgrassladder/internal/peer/sibling"
)

const (
	// exchangeCall is the name of the call of a heartbeat.
	exchangeCall = "/eelgrassladder.peer.v1.Peer/Exchange"
	// exchangeTimeout bounds one heartbeat of a test.
	exchangeTimeout = 5 * time.Second
	// The kinds of frames of drpc that start a call and that carry a message of it.
	frameInvoke  = 1
	frameMessage = 2
	// largeFrame is the length of a frame that is nearly as long as the limit of the drpc
	// library, 4 MiB.
	largeFrame = 4<<20 - 1024
)

// frameHeader returns the header of a frame of drpc for call 1 of a connection: the kind,
// whether the message ends with the frame, the number of the message, and the length of the
// data.
func frameHeader(kind byte, done bool, message, length uint64) []byte {
	control := kind << 1
	if done {
		control |= 1
	}
	b := binary.AppendUvarint([]byte{control}, 1)
	b = binary.AppendUvarint(b, message)
	return binary.AppendUvarint(b, length)
}

// frame returns a frame of drpc.
func frame(kind byte, done bool, message uint64, data []byte) []byte {
	return append(frameHeader(kind, done, message, uint64(len(data))), data...)
}

// verifySiblings is verify for a crowd on the siblings' port: another proxy is answered too,
// once the crowd has left.
func (p *proxy) verifySiblings(t *testing.T) {
	t.Helper()
	p.verify(t)
	p.await(t, "a heartbeat of another proxy", func() error {
		client := sibling.NewClient()
		defer client.CloseExcept(nil)
		ctx, cancel := context.WithTimeout(p.tasks.Context(), exchangeTimeout)
		defer cancel()
		_, err := client.Exchange(ctx, p.settings.Sibling, heartbeat.Message{Sender: "proxy-1"})
		return err
	})
}

// TestRawBytesOnTheSiblingsPort guards against bytes that are no messages of siblings.
func TestRawBytesOnTheSiblingsPort(t *testing.T) {
	p := startProxy(t, defaultLimits)
	p.play(p.settings.Sibling, 150, func(v *visitor) {
		random := rand.NewChaCha8([32]byte{byte(v.index)})
		part, sent := make([]byte, 64<<10), true
		for i := 0; sent && i < 64; i++ {
			_, _ = random.Read(part)
			sent = v.send(part)
		}
	})
	p.verifySiblings(t)
}

// TestHugeLengthsOnTheSiblingsPort guards against memory that is taken for data which is
// announced, or sent in part: one frame that stops, and one message in many frames.
func TestHugeLengthsOnTheSiblingsPort(t *testing.T) {
	p := startProxy(t, defaultLimits)
	data := bytes.Repeat([]byte("a"), largeFrame)
	part := frame(frameMessage, false, 2, data[:64<<10])
	call := frame(frameInvoke, true, 1, []byte(exchangeCall))
	p.play(p.settings.Sibling, 150, func(v *visitor) {
		switch v.index % 3 {
		case 0:
			_ = v.send(frameHeader(frameInvoke, true, 1, 1<<62)) && v.send(data)
		case 1:
			_ = v.send(frameHeader(frameInvoke, true, 1, largeFrame)) && v.send(data[:largeFrame-1])
		default:
			sent := v.send(call)
			for i := 0; sent && i < 63; i++ {
				sent = v.send(part)
			}
		}
	})
	p.verifySiblings(t)
}

// TestLargeHeartbeatsOnTheSiblingsPort guards against whole messages that are kept for a
// sibling which does not read the answers.
func TestLargeHeartbeatsOnTheSiblingsPort(t *testing.T) {
	p := startProxy(t, defaultLimits)
	beat, err := proto.Marshal(&peer.Beat{Sender: "proxy-1", Configuration: bytes.Repeat([]byte("a"), largeFrame-1024)})
	assert.NilError(t, err)
	call := append(frame(frameInvoke, true, 1, []byte(exchangeCall)), frame(frameMessage, true, 2, beat)...)
	p.play(p.settings.Sibling, 150, func(v *visitor) { v.send(call) })
	p.verifySiblings(t)
}

// TestConnectionsOnTheSiblingsPort guards against more connections than descriptors.
func TestConnectionsOnTheSiblingsPort(t *testing.T) {
	p := startProxy(t, limits{megabytes: 96, descriptors: 700})
	p.play(p.settings.Sibling, 1000, func(*visitor) {})
	p.verifySiblings(t)
}

// TestHalfMessagesOnTheSiblingsPort guards against calls that wait for the rest of their
// message without end.
func TestHalfMessagesOnTheSiblingsPort(t *testing.T) {
	p := startProxy(t, limits{megabytes: 96, descriptors: 700})
	beat, err := proto.Marshal(&peer.Beat{Sender: "proxy-1", Configuration: bytes.Repeat([]byte("a"), 20_000)})
	assert.NilError(t, err)
	call := append(frame(frameInvoke, true, 1, []byte(exchangeCall)), frame(frameMessage, true, 2, beat)...)
	p.play(p.settings.Sibling, 1000, func(v *visitor) { v.send(call[:len(call)/2]) })
	p.verifySiblings(t)
}
