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

// checkedLimit is how many checked passwords are remembered.
const checkedLimit = 4096

// HTTPFrontend is the HTTP front end; it implements the generated service.
type HTTPFrontend struct {
	front *Frontend
	// mutex guards checked. It is a leaf.
	mutex sync.Mutex
	// checked holds pairs of verifier and password that were found to match,
	// because checking costs much work.
	checked map[[2]string]struct{}
}

// NewHTTPFrontend returns the HTTP front end beside a front.
func NewHTTPFrontend(f *Frontend) *HTTPFrontend {
	return &HTTPFrontend{front: f, checked: map[[2]string]struct{}{}}
}

// callerKey is the key of the caller's name in a context.
type callerKey struct{}

// BasicAuth checks the caller's name and password.
func (w *HTTPFrontend) BasicAuth(ctx context.Context, user, pass string, _ *security.BasicScheme) (context.Context, error) {
	known, ok := w.front.versions.Current().Caller(user)
	if !ok || !w.matches(known.Verifier, pass) {
		return ctx, work.Unauthorized("the caller is unknown or the password is wrong")
	}
	return context.WithValue(ctx, callerKey{}, known.Name), nil
}

// matches reports whether the password is the verifier's.
func (w *HTTPFrontend) matches(verifier, pass string) bool {
	pair := [2]string{verifier, pass}
	w.mutex.Lock()
	_, ok := w.checked[pair]
	w.mutex.Unlock()
	if ok {
		return true
	}
	if !password.Matches(verifier, pass) {
		return false
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.checked) >= checkedLimit {
		clear(w.checked)
	}
	w.checked[pair] = struct{}{}
	return true
}

// Run runs a statement or a short transaction.
func (w *HTTPFrontend) Run(ctx context.Context, p *work.RunPayload) (*work.RunResult, error) {
	name, _ := ctx.Value(callerKey{}).(string)
	token, err := session.Parse(text(p.Session))
	if err != nil {
		return refusedResult(request.Refusal{Code: request.CodeBadValue, Message: err.Error()}), nil
	}
	r, refused := w.request(name, p, token)
	if refused != nil {
		return refusedResult(*refused), nil
	}
	answer := w.front.run(ctx, r)
	if answer.Outcome != request.Done {
		result := refusedResult(answer.Refusal)
		result.Outcome = answer.Outcome.String()
		return result, nil
	}
	result := decodeAnswer(answer.Payload)
	next := token.WithPosition(p.Database, answer.Position).String()
	result.Session = &next
	return result, nil
}

// request turns the payload into a request, or says why it can't.
func (w *HTTPFrontend) request(name string, p *work.RunPayload, token session.Token) (request.Request, *request.Refusal) {
	c := &connection{front: w.front, caller: name, database: p.Database, token: token, sessionName: text(p.SessionName)}
	known, ok := w.front.versions.Current().Caller(name)
	if !ok || !known.MayReach(p.Database) || !w.front.groups(p.Database) {
		return request.Request{}, &request.Refusal{Code: request.CodeNoDatabase, Message: "database is not open to this caller"}
	}
	if refused := c.setClass(text(p.Class)); refused != nil {
		return request.Request{}, refused
	}
	if len(p.Statements) == 0 {
		return request.Request{}, &request.Refusal{Code: request.CodeBadValue, Message: "no statements"}
	}
	c.key = text(p.Key)
	payload, texts, refused := encodeStatements(p.Statements)
	if refused != nil {
		return request.Request{}, refused
	}
	r := c.request(payload)
	r.ReadOnly = p.ReadOnly != nil && *p.ReadOnly
	r.Fingerprint = fingerprint(texts)
	return r, nil
}

// encodeStatements turns statements into one batch, which the endpoint runs
// as one transaction.
func encodeStatements(all []*work.Statement) ([]byte, string, *request.Refusal) {
	var payload []byte
	var texts string
	add := func(m pgproto3.FrontendMessage) {
		if grown, err := m.Encode(payload); err == nil {
			payload = grown
		}
	}
	for _, s := range all {
		reason := unsupported(s.SQL)
		if reason == "" && (opens(s.SQL) || closes(s.SQL)) {
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
		return nil, "", &request.Refusal{Code: request.CodeConfigurationLimit, Message: "the statements are longer than the limit"}
	}
	return payload, texts, nil
}

// decodeAnswer turns an endpoint's answer into the result of the service.
func decodeAnswer(payload []byte) *work.RunResult {
	result := &work.RunResult{Outcome: request.Done.String()}
	current := &work.StatementResult{Columns: []string{}, Rows: [][]any{}}
	for kind, message := range wire.Messages(payload) {
		body := wire.Body(message)
		switch kind {
		case 'T':
			current.Columns = columns(body)
		case 'D':
			current.Rows = append(current.Rows, values(body))
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

// columns returns the names of a row description.
func columns(body []byte) []string {
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

// values returns the values of a row, as text or null.
func values(body []byte) []any {
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

// refusedResult turns a refusal into the result of the service.
func refusedResult(r request.Refusal) *work.RunResult {
	wait := int(r.RetryAfter.Milliseconds())
	return &work.RunResult{
		Outcome: request.NotRun.String(), Code: &r.Code, Message: &r.Message, RetryAfterMs: &wait,
	}
}

// text returns the text or the empty one.
func text(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}
