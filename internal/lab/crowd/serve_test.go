package crowd_test

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	generated "eelgrassladder.example/eelgrassladder/gen/platform"
	"eelgrassladder.example/eelgrassladder/internal/host/fleet"
	"eelgrassladder.example/eelgrassladder/internal/host/settings"
	"eelgrassladder.example/eelgrassladder/internal/lab/address"
	"eelgrassladder.example/eelgrassladder/internal/lab/crowd"
	"eelgrassladder.example/eelgrassladder/internal/lab/group"
	"eelgrassladder.example/eelgrassladder/internal/lab/platform"
)

const (
	// ownGroup is the database group of the proxies with the project's own interfaces, and
	// ownUser and ownPassword are those of a caller in examples/magnolia.
	ownGroup    = "commission-orders-1"
	ownUser     = "commissions"
	ownPassword = "brushwork"
	// requestTimeout bounds one ordinary request at the own interfaces.
	requestTimeout = 5 * time.Second
	// longQuery is the length of a message that the own interfaces accept: their limit is
	// 4 MiB.
	longQuery = 2 << 20
)

// ownProxy is a fixture for a proxy with the project's own interfaces.
type ownProxy struct {
	*fixture
	listen settings.Listen
}

// startOwnProxy starts a proxy with the project's own interfaces beside a simulated platform
// and one group, and waits until it serves.
func startOwnProxy(t *testing.T, l limits) *ownProxy {
	t.Helper()
	f := newFixture(t, l)
	store := platform.NewStore()
	storeAddress, err := platform.Start(f.tasks, store, address.Free)
	assert.NilError(t, err)
	layout := group.Layout{Slots: 2, Connections: 16, DataCentres: []string{"a", "b", "c"}}
	members, err := group.Start(f.tasks, ownGroup, layout, group.Conditions{ServiceTime: time.Millisecond})
	assert.NilError(t, err)
	hosts := &generated.HostList{Proxies: []*generated.ListedProxy{}, Endpoints: []*generated.ListedEndpoint{}}
	for _, m := range members.HostListEntries() {
		hosts.Endpoints = append(hosts.Endpoints, &generated.ListedEndpoint{
			Name: m.Name, Group: ownGroup, DataCentre: m.DataCentre, Address: m.Address, Slots: m.Slots, Connections: m.Connections,
		})
	}
	store.SetHosts(hosts)
	configuration, err := os.ReadFile("../../../examples/magnolia/configuration.hujson")
	assert.NilError(t, err)
	_, err = store.Swap(f.tasks.Context(), &generated.SwapPayload{Key: fleet.ConfigurationKey, Value: string(configuration), ChangeID: "lab"})
	assert.NilError(t, err)
	p := &ownProxy{fixture: f}
	for _, a := range []*string{&p.listen.Postgres, &p.listen.HTTP, &p.listen.Operator, &p.listen.Sibling} {
		*a, err = address.Reserve(f.tasks.Context(), address.Free)
		assert.NilError(t, err)
	}
	file := writeOwnSettings(t, p.listen, storeAddress, l)
	f.process, err = crowd.Start(f.tasks, file+".log", program, "serve", "--settings", file)
	assert.NilError(t, err)
	f.served = func() error { return p.query("SELECT count(*) FROM ordinary") }
	f.await(t, "a table before the crowd", func() error {
		return p.query("CREATE TABLE IF NOT EXISTS ordinary (id bigserial, pet text)")
	})
	if t.Failed() {
		t.Fatalf("the process did not start:\n%s", f.process.Tail())
	}
	return p
}

// writeOwnSettings writes the settings of a proxy with the project's own interfaces, and
// returns the file. They have the limits of memory and descriptors if the program knows such
// settings; the bounds of the tests are the same if it doesn't.
func writeOwnSettings(t *testing.T, listen settings.Listen, store string, l limits) string {
	t.Helper()
	folder := t.TempDir()
	file, token := filepath.Join(folder, "serve.hujson"), filepath.Join(folder, "token")
	assert.NilError(t, os.WriteFile(token, []byte("token\n"), 0o600))
	s := map[string]any{
		"Name": "proxy-1", "DataCentre": "a", "Listen": listen, "Platform": settings.Platform{Address: store}, "Siblings": []string{},
		"Endpoints": settings.Endpoints{User: "eelgrassladder"}, "Operators": settings.Operators{TokenFile: token},
		"Limits": map[string]any{"MemoryMegabytes": l.megabytes, "Descriptors": l.descriptors},
	}
	text, err := json.Marshal(s)
	assert.NilError(t, err)
	if _, findings := settings.Parse(file, text); len(findings) > 0 {
		delete(s, "Limits")
		text, err = json.Marshal(s)
		assert.NilError(t, err)
	}
	assert.NilError(t, os.WriteFile(file, text, 0o600))
	return file
}

// ownURL returns the URL of the group for the ordinary caller. Its class allows no staleness.
func ownURL(address string) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable&eelgrassladder.class=deposits", ownUser, ownPassword, address, ownGroup)
}

// query runs a statement in a connection of its own.
func (p *ownProxy) query(text string, arguments ...any) error {
	ctx, cancel := context.WithTimeout(p.tasks.Context(), requestTimeout)
	defer cancel()
	c, err := pgx.Connect(ctx, ownURL(p.listen.Postgres))
	if err != nil {
		return err
	}
	defer func() { _ = c.Close(ctx) }()
	_, err = c.Exec(ctx, text, arguments...)
	return err
}

// runBody returns the body of a request over HTTP with one statement.
func runBody(statement string) []byte {
	body, err := json.Marshal(map[string]any{"Database": ownGroup, "Statements": []any{map[string]any{"SQL": statement}}})
	if err != nil {
		panic(err) // impossible: texts can always be encoded
	}
	return body
}

// run returns a request over HTTP with a body, as bytes. The announced length is that of the
// body.
func run(body []byte) []byte {
	credentials := base64.StdEncoding.EncodeToString([]byte(ownUser + ":" + ownPassword))
	header := fmt.Sprintf("POST /v1/run HTTP/1.1\r\nHost: a\r\nAuthorization: Basic %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n",
		credentials, len(body))
	return append([]byte(header), body...)
}

// runHTTP runs an ordinary request over HTTP.
func (p *ownProxy) runHTTP() error {
	request, err := http.NewRequest(http.MethodPost, "http://"+p.listen.HTTP+"/v1/run", bytes.NewReader(runBody("SELECT count(*) FROM ordinary")))
	if err != nil {
		return err
	}
	request.SetBasicAuth(ownUser, ownPassword)
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	var result struct{ Outcome string }
	if err := json.NewDecoder(response.Body).Decode(&result); err != nil {
		return err
	}
	if result.Outcome != "Done" {
		return fmt.Errorf("the request has the outcome %q", result.Outcome)
	}
	return nil
}

// verifyHTTP is verify for a crowd on the HTTP interfaces: requests to these are served too,
// once the crowd has left.
func (p *ownProxy) verifyHTTP(t *testing.T) {
	t.Helper()
	p.verify(t)
	p.await(t, "a request over HTTP", p.runHTTP)
	p.await(t, "a request of operators", func() error { return get(p.listen.Operator, "/readyz") })
}

// logIn opens a session in the PostgreSQL protocol and reports whether the process has
// accepted it.
func (v *visitor) logIn() bool {
	config, err := pgconn.ParseConfig(ownURL(v.RemoteAddr().String()))
	if err != nil {
		panic(err) // impossible: the URL is valid
	}
	config.DialFunc = func(context.Context, string, string) (net.Conn, error) { return v.TCPConn, nil }
	ctx, cancel := context.WithTimeout(v.tasks.Context(), requestTimeout)
	defer cancel()
	c, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return false
	}
	_, err = c.Hijack()
	_ = v.SetDeadline(time.Now().Add(actTime))
	return err == nil
}

// encode returns messages of the PostgreSQL protocol.
func encode(messages ...pgproto3.FrontendMessage) []byte {
	var b []byte
	for _, m := range messages {
		var err error
		if b, err = m.Encode(b); err != nil {
			panic(err) // impossible: the messages are below 1 GiB
		}
	}
	return b
}

// TestStartUpsThatStop guards against connections of callers that are not known yet, which
// are more than descriptors.
func TestStartUpsThatStop(t *testing.T) {
	p := startOwnProxy(t, limits{megabytes: 96, descriptors: 700})
	startup := encode(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersionNumber, Parameters: map[string]string{"user": ownUser, "database": ownGroup},
	})
	p.play(p.listen.Postgres, 1000, func(v *visitor) {
		switch v.index % 4 {
		case 0: // nothing is sent at all
		case 1:
			v.send(append([]byte{0, 0, 0x27, 0x10}, startup[4:]...)) // announces 10,000 bytes
		case 2:
			v.send(encode(&pgproto3.SSLRequest{}))
		default:
			v.send(startup)
		}
	})
	p.verify(t)
}

// TestLongQueriesThatStop guards against a buffer for each caller that grows up to the limit
// of a message.
func TestLongQueriesThatStop(t *testing.T) {
	p := startOwnProxy(t, defaultLimits)
	message := encode(&pgproto3.Query{String: "SELECT pet FROM ordinary WHERE pet = '" + strings.Repeat("a", longQuery) + "'"})
	p.play(p.listen.Postgres, 100, func(v *visitor) {
		_ = v.logIn() && v.send(message[:len(message)-1])
	})
	p.verify(t)
}

// TestPipelinedLongQueries guards against whole messages, and requests that wait, which are
// kept for callers that do not read the answers.
func TestPipelinedLongQueries(t *testing.T) {
	p := startOwnProxy(t, defaultLimits)
	message := encode(&pgproto3.Query{String: "SELECT pet FROM ordinary WHERE pet = '" + strings.Repeat("a", longQuery) + "'"})
	p.play(p.listen.Postgres, 100, func(v *visitor) {
		sent := v.logIn()
		for i := 0; sent && i < largeMessages; i++ {
			sent = v.send(message)
		}
	})
	p.verify(t)
}

// TestBatchesWithoutSync guards against batches that grow and are never run.
func TestBatchesWithoutSync(t *testing.T) {
	p := startOwnProxy(t, defaultLimits)
	parse := encode(&pgproto3.Parse{Query: "SELECT pet FROM ordinary WHERE pet = '" + strings.Repeat("a", 100_000) + "'"})
	p.play(p.listen.Postgres, 100, func(v *visitor) {
		sent := v.logIn()
		for i := 0; sent && i < 70; i++ {
			sent = v.send(parse)
		}
	})
	p.verify(t)
}

// TestManyPreparedStatementsOfCallers guards against prepared statements that are bounded in
// number and not in bytes.
func TestManyPreparedStatementsOfCallers(t *testing.T) {
	p := startOwnProxy(t, defaultLimits)
	p.play(p.listen.Postgres, 100, func(v *visitor) {
		sent := v.logIn()
		v.discard()
		for i := 0; sent && i < 300; i += 50 {
			var batch []byte
			for j := range 50 {
				text := fmt.Sprintf("SELECT pet FROM ordinary WHERE pet = '%d-%d%s'", v.index, i+j, strings.Repeat("a", 6000))
				batch = append(batch, encode(&pgproto3.Parse{Name: fmt.Sprintf("name-%d", i+j), Query: text})...)
			}
			sent = v.send(append(batch, encode(&pgproto3.Sync{})...))
		}
	})
	p.verify(t)
}

// TestTransactionsOfCallersLeftOpen guards against idle transactions that take all connections
// of the endpoints.
func TestTransactionsOfCallersLeftOpen(t *testing.T) {
	p := startOwnProxy(t, defaultLimits)
	p.play(p.listen.Postgres, 150, func(v *visitor) {
		if v.logIn() {
			v.discard()
			v.send(encode(&pgproto3.Query{String: "BEGIN"}, &pgproto3.Query{String: "SELECT count(*) FROM ordinary"}))
		}
	})
	p.verify(t)
}

// TestUnreadAnswersOfCallers guards against large answers that are kept for callers which read
// one byte a second.
func TestUnreadAnswersOfCallers(t *testing.T) {
	p := startOwnProxy(t, defaultLimits)
	p.insertLarge(t)
	query := string(encode(&pgproto3.Query{String: "SELECT pet FROM large"}))
	p.play(p.listen.Postgres, 150, func(v *visitor) {
		if v.logIn() {
			// An answer or two fit into the buffers of the kernel.
			v.sendSlowly(query)
			v.readSlowly()
		}
	})
	time.Sleep(largeAnswersTime)
	p.verify(t)
}

// insertLarge inserts a row of 900,000 bytes into the table large.
func (p *ownProxy) insertLarge(t *testing.T) {
	t.Helper()
	p.await(t, "a table of large rows", func() error {
		return p.query("CREATE TABLE IF NOT EXISTS large (id bigserial, pet text)")
	})
	p.await(t, "the insert of a large row", func() error {
		return p.query("INSERT INTO large (pet) VALUES ($1)", strings.Repeat("a", 900_000))
	})
}

// TestConnectionsThatStayOnHTTP guards against connections that stay while headers or bodies
// arrive byte by byte, or after a request, and are more than descriptors.
func TestConnectionsThatStayOnHTTP(t *testing.T) {
	p := startOwnProxy(t, limits{megabytes: 96, descriptors: 700})
	p.playAt([]string{p.listen.HTTP, p.listen.Operator}, 1000, func(v *visitor) {
		switch v.index / 2 % 3 {
		case 0:
			v.send([]byte("GET /livez HTTP/1.1\r\nHost: a\r\nX-Slow: "))
			v.sendSlowly("a")
		case 1:
			v.send([]byte("POST /v1/run HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: 100000\r\n\r\n{"))
			v.sendSlowly(" ")
		default:
			v.send([]byte("GET /livez HTTP/1.1\r\nHost: a\r\n\r\n"))
			v.discard()
		}
	})
	p.verifyHTTP(t)
}

// TestHugeHeadersOnHTTP guards against buffering headers far longer than those of any client.
func TestHugeHeadersOnHTTP(t *testing.T) {
	p := startOwnProxy(t, defaultLimits)
	header := []byte("GET /livez HTTP/1.1\r\nHost: a\r\nX-Large: " + strings.Repeat("a", largeMessage))
	p.playAt([]string{p.listen.HTTP, p.listen.Operator}, 150, func(v *visitor) { v.send(header) })
	p.verifyHTTP(t)
}

// TestLargeBodiesThatStop guards against bodies that are buffered before the caller is known.
func TestLargeBodiesThatStop(t *testing.T) {
	p := startOwnProxy(t, defaultLimits)
	request := run(runBody(strings.Repeat("a", 3<<20)))
	request = bytes.Replace(request, []byte(base64.StdEncoding.EncodeToString([]byte(ownUser+":"+ownPassword))), []byte("bm9ib2R5OndvcmQ="), 1)
	p.play(p.listen.HTTP, 100, func(v *visitor) { v.send(request[:len(request)-10]) })
	p.verifyHTTP(t)
}

// TestUnreadAnswersOverHTTP guards against large answers that are kept for callers which do
// not read them.
func TestUnreadAnswersOverHTTP(t *testing.T) {
	p := startOwnProxy(t, defaultLimits)
	p.insertLarge(t)
	requests := bytes.Repeat(run(runBody("SELECT pet FROM large")), 20)
	p.play(p.listen.HTTP, 100, func(v *visitor) { v.send(requests) })
	time.Sleep(largeAnswersTime / 2)
	p.verifyHTTP(t)
}

// TestCrowdsOnThePortOfOtherProxies guards against memory for messages of drpc that stop
// half-way, and against more connections than descriptors, on the port that the other proxies
// with the own interfaces use.
func TestCrowdsOnThePortOfOtherProxies(t *testing.T) {
	data := bytes.Repeat([]byte("a"), largeFrame)
	for _, test := range []struct {
		name    string
		limits  limits
		clients int
		act     func(*visitor)
	}{
		{"connections", limits{megabytes: 96, descriptors: 700}, 1000, func(*visitor) {}},
		{"messages that stop", defaultLimits, 150, func(v *visitor) {
			_ = v.send(frameHeader(frameInvoke, true, 1, largeFrame)) && v.send(data[:largeFrame-1])
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := startOwnProxy(t, test.limits)
			p.play(p.listen.Sibling, test.clients, test.act)
			p.verify(t)
		})
	}
}
