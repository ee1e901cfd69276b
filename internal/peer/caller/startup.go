package caller

import (
	"context"
	"crypto/tls"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"eelgrassladder.example/eelgrassladder/internal/host/password"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/peer/wire"
)

// unknownVerifier is checked for callers that are not in the configuration, so that
// they get the same answers as with a wrong password.
const unknownVerifier = "SCRAM-SHA-256$4096:AAAAAAAAAAAAAAAAAAAAAA==$" +
	"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="

// ignoredParameters are start-up parameters that applyParameters ignores. authorize
// reads user and database; the others do not affect answers.
var ignoredParameters = map[string]bool{
	"user": true, "database": true, "application_name": true, "fallback_application_name": true,
	"extra_float_digits": true,
}

// startUp runs the start-up of a connection and reports whether it succeeded.
func (c *connection) startUp(ctx context.Context) bool {
	_ = c.stream.SetDeadline(time.Now().Add(startupTimeout))
	backend := newBackend(c.stream)
	first, err := c.firstMessage(ctx, &backend)
	if err != nil || first == nil {
		return false
	}
	if refused := c.authorize(backend, first); refused != nil {
		c.fatal(*refused)
		return false
	}
	var out encoder
	out.add(&pgproto3.AuthenticationOk{})
	// Drivers read these parameters to find out what the server supports and how to
	// encode values.
	for _, parameter := range [][2]string{
		{"server_version", "16.0 (eelgrassladder)"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"TimeZone", "UTC"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
		{settingSession, c.token.String()},
	} {
		out.add(&pgproto3.ParameterStatus{Name: parameter[0], Value: parameter[1]})
	}
	out.add(&pgproto3.BackendKeyData{ProcessID: c.number, SecretKey: c.secret})
	if c.send(out.finish(request.Idle)) != nil {
		c.frontend.unregister(c.number)
		return false
	}
	_ = c.stream.SetDeadline(time.Time{})
	c.reader = wire.NewReader(c.stream, MaxMessageBytes)
	c.reader.OnMessage(c.holdMessage)
	return true
}

// newBackend returns a reader of start-up messages.
func newBackend(stream net.Conn) *pgproto3.Backend {
	b := pgproto3.NewBackend(stream, stream)
	b.SetMaxBodyLen(maxStartupBytes)
	return b
}

// maxStartupBytes is the limit for the body of one message of a start-up.
const maxStartupBytes = 16 << 10

// firstMessage answers requests for encryption and returns the start-up message. For a
// cancel request, it cancels the running request and returns nil. startTLS may replace
// the backend.
func (c *connection) firstMessage(ctx context.Context, backend **pgproto3.Backend) (*pgproto3.StartupMessage, error) {
	for {
		first, err := (*backend).ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		switch m := first.(type) {
		case *pgproto3.SSLRequest:
			if err := c.startTLS(ctx, backend); err != nil {
				return nil, err
			}
		case *pgproto3.GSSEncRequest:
			if err := c.send([]byte("N")); err != nil {
				return nil, err
			}
		case *pgproto3.CancelRequest:
			c.frontend.cancel(m.ProcessID, m.SecretKey)
			return nil, nil
		case *pgproto3.StartupMessage:
			return m, nil
		}
	}
}

// startTLS answers a request for TLS and, if TLS is configured, runs the handshake and
// replaces the backend by one that reads from the encrypted connection.
func (c *connection) startTLS(ctx context.Context, backend **pgproto3.Backend) error {
	if c.frontend.tlsConfig == nil {
		return c.send([]byte("N"))
	}
	if err := c.send([]byte("S")); err != nil {
		return err
	}
	secured := tls.Server(c.stream, c.frontend.tlsConfig)
	if err := secured.HandshakeContext(ctx); err != nil {
		return err
	}
	c.stream = secured
	*backend = newBackend(secured)
	return nil
}

// authorize authenticates the caller, checks its database and start-up parameters, and
// registers the connection. It returns nil if all of that succeeded.
func (c *connection) authorize(backend *pgproto3.Backend, m *pgproto3.StartupMessage) *request.Refusal {
	c.caller = m.Parameters["user"]
	c.database = m.Parameters["database"]
	if c.database == "" {
		c.database = c.caller
	}
	configured, ok := c.frontend.versions.Current().Caller(c.caller)
	verifier := configured.Verifier
	if !ok {
		verifier = unknownVerifier
	}
	if err := password.Authenticate(backend, verifier); err != nil || !ok {
		return &request.Refusal{
			Code: request.CodePassword, Message: "password authentication failed for caller \"" + c.caller + "\"",
		}
	}
	if !c.frontend.groupExists(c.database) {
		return &request.Refusal{Code: request.CodeNoDatabase, Message: "database \"" + c.database + "\" does not exist"}
	}
	if !configured.MayReach(c.database) {
		return &request.Refusal{
			Code: request.CodeNotAllowed, Message: "caller may not use database \"" + c.database + "\"",
			Hint: "The caller may use: " + strings.Join(configured.Databases, ", ") + ".",
		}
	}
	c.class = configured.Classes[0] // the first class is the default
	if refused := c.applyParameters(m.Parameters); refused != nil {
		return refused
	}
	if c.frontend.draining.Load() {
		return &request.Refusal{Code: request.CodeShutdown, Message: "the proxy is leaving", Hint: "Connect again."}
	}
	c.secret = newSecret()
	if !c.frontend.register(c) {
		return &request.Refusal{
			Code: request.CodeOverloaded, Message: "too many connections to this proxy", Hint: "Connect again later.",
		}
	}
	return nil
}

// applyParameters applies the parameters of the start-up message. One that would change
// answers is refused, because callers share the connections to endpoints.
func (c *connection) applyParameters(parameters map[string]string) *request.Refusal {
	for name, value := range parameters {
		switch {
		case ignoredParameters[name]:
		case strings.HasPrefix(name, settingPrefix):
			if refused := c.setSetting(name, value); refused != nil {
				return refused
			}
		case name == "default_transaction_read_only":
			c.readOnly = value == "on" || value == "true" || value == "1"
		case name == "client_encoding" && strings.EqualFold(strings.ReplaceAll(value, "-", ""), "utf8"):
		case name == "DateStyle" && strings.HasPrefix(strings.ToUpper(value), "ISO"):
		case name == "TimeZone" && strings.EqualFold(value, "UTC"):
		default:
			return &request.Refusal{
				Code: request.CodeNotSupported, Message: "start-up setting \"" + name + "\" is not supported",
				Hint: "Set it inside a transaction with SET LOCAL.",
			}
		}
	}
	return nil
}
