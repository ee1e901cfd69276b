package caller

import (
	"context"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
	"goa.design/goa/v3/security"

	"eelgrassladder.example/eelgrassladder/gen/work"
	"eelgrassladder.example/eelgrassladder/internal/host/password"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/model/session"
	"eelgrassladder.example/eelgrassladder/internal/peer/wire"
)

// maxVerified is the maximum size of HTTPFrontend.verified, which is cleared when it is
// reached.
const maxVerified = 4096

// HTTPFrontend is the HTTP front end; it implements the generated service. Use
// NewHTTPFrontend to make one.
type HTTPFrontend struct {
	frontend *Frontend
	// mutex guards verified. No other lock is taken while it is held.
	mutex sync.Mutex
	// verified holds the pairs of verifier and password that are known to match,
	// because computing a match is expensive.
	verified map[[2]string]struct{}
}

// NewHTTPFrontend returns the HTTP front end that shares the dispatcher, the
// configuration and the observers of f.
func NewHTTPFrontend(f *Frontend) *HTTPFrontend {
	return &HTTPFrontend{frontend: f, verified: map[[2]string]struct{}{}}
}

// callerKey is the context key of the authenticated caller's name.
type callerKey struct{}

// BasicAuth checks the caller's name and password, and returns a context with the
// name. It returns Unauthorized for an unknown caller or a wrong password.
func (h *HTTPFrontend) BasicAuth(ctx context.Context, user, pass string, _ *security.BasicScheme) (context.Context, error) {
	configured, ok := h.frontend.versions.Current().Caller(user)
	if !ok || !h.passwordMatches(configured.Verifier, pass) {
		return ctx, work.Unauthorized("the caller is unknown or the password is wrong")
	}
	return context.WithValue(ctx, callerKey{}, configured.Name), nil
}

// passwordMatches reports whether the password matches the verifier.
func (h *HTTPFrontend) passwordMatches(verifier, pass string) bool {
	pair := [2]string{verifier, pass}
	h.mutex.Lock()
	_, ok := h.verified[pair]
	h.mutex.Unlock()
	if ok {
		return true
	}
	if !password.Matches(verifier, pass) {
		return false
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if len(h.verified) >= maxVerified {
		clear(h.verified)
	}
	h.verified[pair] = struct{}{}
	return true
}

// Run runs statements as one transaction. Refusals are part of the result; the error
// is always nil.
func (h *HTTPFrontend) Run(ctx context.Context, p *work.RunPayload) (*work.RunResult, error) {
	name, _ := ctx.Value(callerKey{}).(string)
	token, err := session.Parse(stringOrEmpty(p.Session))
	if err != nil {
		return encodeRefusalResult(request.Refusal{Code: request.CodeBadValue, Message: err.Error()}), nil
	}
	r, refused := h.request(name, p, token)
	if refused != nil {
		return encodeRefusalResult(*refused), nil
	}
	answer := h.frontend.dispatch(ctx, r)
	if answer.Outcome != request.Done {
		result := encodeRefusalResult(answer.Refusal)
		result.Outcome = answer.Outcome.String()
		return result, nil
	}
	result := decodeAnswer(answer.Payload)
	next := token.WithPosition(p.Database, answer.Position).String()
	result.Session = &next
	return result, nil
}

// request returns the request for a payload of the caller with the name, or the reason
// why it is refused.
func (h *HTTPFrontend) request(name string, p *work.RunPayload, token session.Token) (request.Request, *request.Refusal) {
	c := &connection{frontend: h.frontend, caller: name, database: p.Database, token: token, sessionName: stringOrEmpty(p.SessionName)}
	configured, ok := h.frontend.versions.Current().Caller(name)
	if !ok || !configured.MayReach(p.Database) || !h.frontend.groupExists(p.Database) {
		return request.Request{}, &request.Refusal{Code: request.CodeNoDatabase, Message: "database is not open to this caller"}
	}
	if refused := c.setClass(stringOrEmpty(p.Class)); refused != nil {
		return request.Request{}, refused
	}
	if len(p.Statements) == 0 {
		return request.Request{}, &request.Refusal{Code: request.CodeBadValue, Message: "no statements"}
	}
	c.requestKey = stringOrEmpty(p.Key)
	payload, texts, refused := encodeStatements(p.Statements)
	if refused != nil {
		return request.Request{}, refused
	}
	r := c.request(payload)
	r.ReadOnly = p.ReadOnly != nil && *p.ReadOnly
	r.Fingerprint = fingerprint(texts)
	return r, nil
}

// encodeStatements encodes statements as one batch, which the endpoint runs as one
// transaction. It also returns their texts, each followed by a zero byte.
func encodeStatements(requested []*work.Statement) ([]byte, string, *request.Refusal) {
	var payload []byte
	var texts string
	add := func(m pgproto3.FrontendMessage) {
		if grown, err := m.Encode(payload); err == nil {
			payload = grown
		}
	}
	for _, s := range requested {
		reason := unsupportedReason(s.SQL)
		if reason == "" && (beginsTransaction(s.SQL) || endsTransaction(s.SQL)) {
			reason = "the statements of a request are one transaction already"
		}
		if reason != "" {
			return nil, "", &request.Refusal{Code: request.CodeNotSupported, Message: reason}
		}
		texts += s.SQL + "\x00"
		arguments := make([][]byte, 0, len(s.Arguments))
		for _, a := range s.Arguments {
			arguments = append(arguments, []byte(a))
		}
		add(&pgproto3.Parse{Query: s.SQL})
		add(&pgproto3.Bind{Parameters: arguments})
		add(&pgproto3.Describe{ObjectType: 'P'})
		add(&pgproto3.Execute{})
	}
	add(&pgproto3.Sync{})
	if len(payload) > maxBatchBytes {
		return nil, "", &request.Refusal{Code: request.CodeLimitExceeded, Message: "the statements are longer than the limit"}
	}
	return payload, texts, nil
}

// decodeAnswer converts an endpoint's answer to the result of the service.
func decodeAnswer(payload []byte) *work.RunResult {
	result := &work.RunResult{Outcome: request.Done.String()}
	current := &work.StatementResult{Columns: []string{}, Rows: [][]any{}}
	for kind, message := range wire.Messages(payload) {
		body := wire.Body(message)
		switch kind {
		case 'T':
			current.Columns = columnNames(body)
		case 'D':
			current.Rows = append(current.Rows, rowValues(body))
		case 'C':
			var m pgproto3.CommandComplete
			if m.Decode(body) == nil {
				current.Tag = string(m.CommandTag)
			}
			result.Results = append(result.Results, current)
			current = &work.StatementResult{Columns: []string{}, Rows: [][]any{}}
		case 'E':
			var m pgproto3.ErrorResponse
			if m.Decode(body) == nil {
				result.Outcome = "Failed"
				result.Results = nil
				result.Code = &m.Code
				result.Message = &m.Message
			}
		}
	}
	return result
}

// columnNames returns the names of the columns in the body of a RowDescription.
func columnNames(body []byte) []string {
	var m pgproto3.RowDescription
	names := []string{}
	if m.Decode(body) != nil {
		return names
	}
	for _, f := range m.Fields {
		names = append(names, string(f.Name))
	}
	return names
}

// rowValues returns the values in the body of a DataRow, as strings or nil.
func rowValues(body []byte) []any {
	var m pgproto3.DataRow
	row := []any{}
	if m.Decode(body) != nil {
		return row
	}
	for _, v := range m.Values {
		if v == nil {
			row = append(row, nil)
			continue
		}
		row = append(row, string(v))
	}
	return row
}

// encodeRefusalResult converts a refusal to the result of the service.
func encodeRefusalResult(r request.Refusal) *work.RunResult {
	wait := int(r.RetryAfter.Milliseconds())
	return &work.RunResult{
		Outcome: request.NotRun.String(), Code: &r.Code, Message: &r.Message, RetryAfterMs: &wait,
	}
}

// stringOrEmpty returns the string, or the empty one for nil.
func stringOrEmpty(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}
