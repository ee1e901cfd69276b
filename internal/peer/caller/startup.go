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

// unknownVerifier is checked for callers that are not in the configuration,
// so that they are refused in the same way as a wrong password.
const unknownVerifier = "SCRAM-SHA-256$4096:AAAAAAAAAAAAAAAAAAAAAA==$" +
	"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="

// passedOver are start-up parameters without effect on answers here.
var passedOver = map[string]bool{
	"user": true, "database": true, "application_name": true, "fallback_application_name": true,
	"extra_float_digits": true,
}

// start runs the start-up of a connection and reports whether it goes on.
func (c *connection) start(ctx context.Context) bool {
	_ = c.stream.SetDeadline(time.Now().Add(startupTime))
	backend := newBackend(c.stream)
	first, err := c.firstMessage(ctx, &backend)
	if err != nil || first == nil {
		return false
	}
	if refused := c.admit(backend, first); refused != nil {
		c.fatal(*refused)
		return false
	}
	var out encoder
	out.add(&pgproto3.AuthenticationOk{})
	for _, s := range [][2]string{
		{"server_version", "16.0 (eelgrassladder)"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"TimeZone", "UTC"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
		{settingSession, c.token.String()},
	} {
		out.add(&pgproto3.ParameterStatus{Name: s[0], Value: s[1]})
	}
	out.add(&pgproto3.BackendKeyData{ProcessID: c.number, SecretKey: c.secret})
	if c.send(out.ready(request.Idle)) != nil {
		c.front.leave(c.number)
		return false
	}
	_ = c.stream.SetDeadline(time.Time{})
	c.reader = wire.NewReader(c.stream, MaxMessageBytes)
	return true
}

// newBackend returns a reader of start-up messages.
func newBackend(stream net.Conn) *pgproto3.Backend {
	b := pgproto3.NewBackend(stream, stream)
	b.SetMaxBodyLen(maxStartupBytes)
	return b
}

// maxStartupBytes bounds the messages of a start-up.
const maxStartupBytes = 16 << 10

// firstMessage answers requests for encryption and cancels, and returns the
// start-up message, or nil if there is none.
func (c *connection) firstMessage(ctx context.Context, backend **pgproto3.Backend) (*pgproto3.StartupMessage, error) {
	for {
		first, err := (*backend).ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		switch m := first.(type) {
		case *pgproto3.SSLRequest:
			if err := c.encrypt(ctx, backend); err != nil {
				return nil, err
			}
		case *pgproto3.GSSEncRequest:
			if err := c.send([]byte("N")); err != nil {
				return nil, err
			}
		case *pgproto3.CancelRequest:
			c.front.cancel(m.ProcessID, m.SecretKey)
			return nil, nil
		case *pgproto3.StartupMessage:
			return m, nil
		}
	}
}

// encrypt answers a request for TLS.
func (c *connection) encrypt(ctx context.Context, backend **pgproto3.Backend) error {
	if c.front.keys == nil {
		return c.send([]byte("N"))
	}
	if err := c.send([]byte("S")); err != nil {
		return err
	}
	secured := tls.Server(c.stream, c.front.keys)
	if err := secured.HandshakeContext(ctx); err != nil {
		return err
	}
	c.stream = secured
	*backend = newBackend(secured)
	return nil
}

// admit checks the caller, its password, database and settings.
func (c *connection) admit(backend *pgproto3.Backend, m *pgproto3.StartupMessage) *request.Refusal {
	c.caller = m.Parameters["user"]
	c.database = m.Parameters["database"]
	if c.database == "" {
		c.database = c.caller
	}
	known, ok := c.front.versions.Current().Caller(c.caller)
	verifier := known.Verifier
	if !ok {
		verifier = unknownVerifier
	}
	if err := password.Authenticate(backend, verifier); err != nil || !ok {
		return &request.Refusal{
			Code: request.CodePassword, Message: "password authentication failed for caller \"" + c.caller + "\"",
		}
	}
	if !c.front.groups(c.database) {
		return &request.Refusal{Code: request.CodeNoDatabase, Message: "database \"" + c.database + "\" does not exist"}
	}
	if !known.MayReach(c.database) {
		return &request.Refusal{
			Code: request.CodeNotAllowed, Message: "caller may not use database \"" + c.database + "\"",
			Hint: "The caller may use: " + strings.Join(known.Databases, ", ") + ".",
		}
	}
	c.class = known.Classes[0]
	if refused := c.applyParameters(m.Parameters); refused != nil {
		return refused
	}
	if c.front.draining.Load() {
		return &request.Refusal{Code: request.CodeShutdown, Message: "the proxy is leaving", Hint: "Connect again."}
	}
	c.secret = newSecret()
	if !c.front.enter(c) {
		return &request.Refusal{
			Code: request.CodeTooManyConnections, Message: "too many connections to this proxy", Hint: "Connect again later.",
		}
	}
	return nil
}

// applyParameters takes the settings of the start-up message. A setting that
// would change answers is refused, because connections are shared.
func (c *connection) applyParameters(all map[string]string) *request.Refusal {
	for name, value := range all {
		switch {
		case passedOver[name]:
		case strings.HasPrefix(name, settingPrefix):
			if refused := c.setOwn(name, value); refused != nil {
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
