package caller_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"eelgrassladder.example/eelgrassladder/internal/host/password"
	"eelgrassladder.example/eelgrassladder/internal/host/task"
	"eelgrassladder.example/eelgrassladder/internal/host/timer"
	"eelgrassladder.example/eelgrassladder/internal/model/configuration"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/peer/caller"
	"eelgrassladder.example/eelgrassladder/internal/table/burn"
	"eelgrassladder.example/eelgrassladder/internal/table/configurations"
)

// fakeDispatcher answers every request as an INSERT of one row, and records the
// requests.
type fakeDispatcher struct {
	mutex    sync.Mutex
	requests []request.Request
	// answer is returned in place of the answer to an INSERT if it is not nil.
	answer *request.Answer
}

func (d *fakeDispatcher) Dispatch(_ context.Context, r request.Request) request.Answer {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.requests = append(d.requests, r)
	if d.answer != nil {
		return *d.answer
	}
	var payload []byte
	for _, m := range []pgproto3.BackendMessage{
		&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")}, &pgproto3.ReadyForQuery{TxStatus: 'I'},
	} {
		payload, _ = m.Encode(payload)
	}
	return request.Answer{Outcome: request.Done, Payload: payload, Status: request.Idle}.
		WithPosition(position.Position{Term: 3, Log: uint64(40 + len(d.requests))})
}

func (d *fakeDispatcher) RollBack(string, string, uint64) {}

func (d *fakeDispatcher) lastRequest() request.Request {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.requests[len(d.requests)-1]
}

// configurationText is a configuration with one caller. VERIFIER is replaced by its
// verifier.
const configurationText = `{
  "Classes": [
    {"Name": "deposits", "Paying": true, "Target": {"Share": 0.99, "Within": "1s"}},
    {"Name": "gallery", "Target": {"Share": 0.9, "Within": "1s"}},
    {"Name": "paid-orders", "Target": {"Share": 0.9, "Within": "1s"}},
  ],
  "Callers": [{"Name": "owners", "Verifier": "VERIFIER", "Databases": ["orders"], "Classes": ["deposits", "gallery"]}],
}`

// serve serves the PostgreSQL front end on a loopback address, which it returns.
func serve(t testing.TB, dispatcher *fakeDispatcher) (string, *caller.Frontend) {
	t.Helper()
	v, err := password.NewVerifier("word")
	assert.NilError(t, err)
	c, findings := configuration.Parse("test", []byte(strings.Replace(configurationText, "VERIFIER", v, 1)))
	assert.NilError(t, findings.Err())
	versions := configurations.New()
	versions.Adopt(c.WithVersion(1, "test"))
	ctx, cancel := context.WithCancel(context.Background())
	tasks := task.New(ctx)
	clock := timer.New()
	frontend := caller.New(dispatcher, clock, versions, burn.New(time.Now()), tasks, caller.WithConnectionLimit(8))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	tasks.Go("frontend", func(ctx context.Context) error { return frontend.Serve(ctx, listener) })
	t.Cleanup(func() {
		cancel()
		_ = tasks.Wait()
	})
	return listener.Addr().String(), frontend
}

// connectionURL returns the URL of the database orders for the configured caller.
// parameters begins with an ampersand unless it is empty.
func connectionURL(address, parameters string) string {
	return "postgres://owners:word@" + address + "/orders?sslmode=disable" + parameters
}

// codeOf returns the SQLSTATE of an error, or an empty string if it has none.
func codeOf(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

func TestStartUpIsRefusedWithTheRightCode(t *testing.T) {
	address, _ := serve(t, &fakeDispatcher{})
	for url, code := range map[string]string{
		"postgres://owners:wrong@" + address + "/orders?sslmode=disable": request.CodePassword,
		"postgres://nobody:word@" + address + "/orders?sslmode=disable":  request.CodePassword,
		"postgres://owners:word@" + address + "/records?sslmode=disable": request.CodeNotAllowed,
		connectionURL(address, "&eelgrassladder.class=unknown"):          request.CodeBadValue,
		connectionURL(address, "&eelgrassladder.class=paid-orders"):      request.CodeNotAllowed,
		connectionURL(address, "&eelgrassladder.session=torn"):           request.CodeBadValue,
		connectionURL(address, "&search_path=private"):                   request.CodeNotSupported,
	} {
		_, err := pgx.Connect(context.Background(), url)
		assert.Equal(t, codeOf(err), code, url)
	}
}

func TestARequestCarriesItsSessionClassAndKey(t *testing.T) {
	dispatcher := &fakeDispatcher{}
	address, _ := serve(t, dispatcher)
	ctx := context.Background()
	c, err := pgx.Connect(ctx, connectionURL(address, "&eelgrassladder.class=gallery&eelgrassladder.session_name=phone-1"))
	assert.NilError(t, err)
	_, err = c.Exec(ctx, "SET eelgrassladder.session = 'orders:2.7,records:1.5'")
	assert.NilError(t, err)
	assert.Equal(t, c.PgConn().ParameterStatus("eelgrassladder.session"), "orders:2.7,records:1.5",
		"the driver still reports the previous session")
	_, err = c.Exec(ctx, "SET eelgrassladder.request_key TO 'k1'")
	assert.NilError(t, err)
	for range 2 {
		_, err = c.Exec(ctx, "INSERT INTO orders (pet) VALUES ('cat')")
		assert.NilError(t, err)
	}
	first, second := dispatcher.requests[0], dispatcher.lastRequest()
	assert.Equal(t, first.Class, "gallery")
	assert.Equal(t, first.SessionName, "phone-1")
	assert.Equal(t, first.Required.String(), "2.7")
	assert.Equal(t, first.Key, "k1")
	assert.Equal(t, second.Required.String(), "3.41", "the second request does not require the position of the first answer")
	assert.Equal(t, second.Key, "", "the key was used for a second request")
	var token string
	assert.NilError(t, c.QueryRow(ctx, "SHOW eelgrassladder.session").Scan(&token))
	assert.Equal(t, token, "orders:3.42,records:1.5")
	assert.Equal(t, c.PgConn().ParameterStatus("eelgrassladder.session"), token)
}

func TestRefusalsKeepTheirCodeAndTheConnection(t *testing.T) {
	refused := request.Refused(request.CodeOverloaded, "can't meet its target", "Try again.", 70*time.Millisecond)
	dispatcher := &fakeDispatcher{answer: &refused}
	address, _ := serve(t, dispatcher)
	ctx := context.Background()
	c, err := pgx.Connect(ctx, connectionURL(address, ""))
	assert.NilError(t, err)
	_, err = c.Exec(ctx, "INSERT INTO orders (pet) VALUES ('cat')")
	var e *pgconn.PgError
	assert.Assert(t, errors.As(err, &e))
	assert.Equal(t, e.Code, "53300")
	assert.Equal(t, e.Detail, "RetryAfterMs: 70")
	_, err = c.Exec(ctx, "COPY orders FROM STDIN")
	assert.Equal(t, codeOf(err), request.CodeNotSupported)
	assert.Assert(t, !c.IsClosed())
}

func TestADrainingProxyClosesIdleCallers(t *testing.T) {
	address, frontend := serve(t, &fakeDispatcher{})
	ctx := context.Background()
	c, err := pgx.Connect(ctx, connectionURL(address, ""))
	assert.NilError(t, err)
	frontend.Drain()
	// A request that the proxy reads before it drains is still served.
	for range 2 {
		if _, err = c.Exec(ctx, "INSERT INTO orders (pet) VALUES ('cat')"); err != nil {
			break
		}
	}
	assert.Equal(t, codeOf(err), request.CodeShutdown)
}

// encodeMessages returns the encoding of messages of a caller.
func encodeMessages(messages ...pgproto3.FrontendMessage) []byte {
	var b []byte
	for _, m := range messages {
		b, _ = m.Encode(b)
	}
	return b
}

// FuzzCallerInput sends arbitrary bytes after a valid start-up, and checks that
// another caller is still served.
func FuzzCallerInput(f *testing.F) {
	f.Add(encodeMessages(&pgproto3.Query{String: "SELECT 1"}))
	f.Add(encodeMessages(&pgproto3.Parse{Name: "s", Query: "SELECT $1"}, &pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Sync{}))
	f.Add(encodeMessages(&pgproto3.Bind{PreparedStatement: "unknown"}, &pgproto3.Sync{}))
	f.Add(encodeMessages(&pgproto3.Parse{Query: "SHOW eelgrassladder.session"}, &pgproto3.Describe{ObjectType: 'S'}, &pgproto3.Flush{}, &pgproto3.Sync{}))
	f.Add(encodeMessages(&pgproto3.Execute{}, &pgproto3.Query{String: "SELECT 1"}))
	f.Add([]byte{'Q', 0, 0, 0, 1})
	f.Add([]byte{'Q', 0x7f, 0xff, 0xff, 0xff})
	f.Add([]byte{'B', 0, 0, 0, 5, 'x'})
	f.Add([]byte{'D', 0, 0, 0, 4, 'C', 0, 0, 0, 4, 'S', 0, 0, 0, 4})
	dispatcher := &fakeDispatcher{}
	address, _ := serve(f, dispatcher)
	f.Fuzz(func(t *testing.T, input []byte) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		connection, err := pgconn.Connect(ctx, connectionURL(address, ""))
		assert.NilError(t, err)
		hijacked, err := connection.Hijack()
		assert.NilError(t, err)
		_, _ = hijacked.Conn.Write(input)
		_, _ = hijacked.Conn.Write(encodeMessages(&pgproto3.Terminate{}))
		// Closing the writing side ends an incomplete message at once, in place of a
		// timeout.
		_ = hijacked.Conn.(*net.TCPConn).CloseWrite()
		_ = hijacked.Conn.SetDeadline(time.Now().Add(time.Second))
		_, _ = io.Copy(io.Discard, hijacked.Conn)
		_ = hijacked.Conn.Close()
		other, err := pgx.Connect(ctx, connectionURL(address, ""))
		assert.NilError(t, err)
		_, err = other.Exec(ctx, "INSERT INTO orders (pet) VALUES ('cat')")
		assert.NilError(t, err)
		assert.NilError(t, other.Close(ctx))
	})
}

// FuzzStartUp sends arbitrary bytes as the start-up, before the caller is known, and checks
// that another caller can connect.
func FuzzStartUp(f *testing.F) {
	startup := encodeMessages(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": "owners", "database": "orders"},
	})
	f.Add(startup)
	f.Add(append(encodeMessages(&pgproto3.SSLRequest{}), startup...))
	f.Add(append(encodeMessages(&pgproto3.GSSEncRequest{}), startup...))
	f.Add(encodeMessages(&pgproto3.CancelRequest{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}}))
	f.Add(append(startup, encodeMessages(&pgproto3.SASLInitialResponse{AuthMechanism: "SCRAM-SHA-256", Data: []byte("n,,n=,r=a")}, &pgproto3.SASLResponse{Data: []byte("c=biws")})...))
	f.Add([]byte{0, 0, 0, 8, 0, 3, 0, 0})
	f.Add([]byte{0, 0, 0, 9, 0, 3, 0, 0, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0, 3, 0, 0})
	f.Add([]byte{0, 0, 0, 12, 0x04, 0xd2, 0x16, 0x2e, 0, 0, 0, 1})
	address, _ := serve(f, &fakeDispatcher{})
	f.Fuzz(func(t *testing.T, input []byte) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		connection, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		_, _ = connection.Write(input)
		// Closing the writing side ends an incomplete start-up at once, in place of a timeout.
		_ = connection.(*net.TCPConn).CloseWrite()
		_ = connection.SetDeadline(time.Now().Add(time.Second))
		_, _ = io.Copy(io.Discard, connection)
		_ = connection.Close()
		other, err := pgconn.Connect(ctx, connectionURL(address, ""))
		assert.NilError(t, err)
		assert.NilError(t, other.Close(ctx))
	})
}
