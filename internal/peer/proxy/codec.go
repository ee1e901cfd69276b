// Package proxy talks to the other proxies over drpc. It forwards requests to the
// owner of a group, exchanges heartbeats that carry membership and configuration, and
// hands groups over to their next owners. It holds both the client and the server.
package proxy

import (
	"time"

	"eelgrassladder.example/eelgrassladder/gen/sibling"
	"eelgrassladder.example/eelgrassladder/internal/host/owner"
	"eelgrassladder.example/eelgrassladder/internal/model/membership"
	"eelgrassladder.example/eelgrassladder/internal/model/position"
	"eelgrassladder.example/eelgrassladder/internal/model/request"
	"eelgrassladder.example/eelgrassladder/internal/table/idempotency"
	"eelgrassladder.example/eelgrassladder/internal/table/sessions"
)

// encodeRequest converts a request to the generated type. It sends the time since the
// request's arrival in place of the arrival, because clocks differ.
func encodeRequest(r request.Request, now time.Time) *sibling.Request {
	m := &sibling.Request{
		Group: r.Group, Database: r.Database, Caller: r.Caller, Class: r.Class, Key: r.Key,
		SessionName: r.SessionName, Required: encodePosition(r.Required), ReadOnly: r.ReadOnly,
		Opens: r.OpensTransaction, Describes: r.DescribeOnly, Pin: r.Pin, Payload: r.Payload, Fingerprint: r.Fingerprint,
		BudgetMicros: now.Sub(r.Arrived).Microseconds(),
	}
	for _, p := range r.Prepared {
		m.Prepared = append(m.Prepared, &sibling.Prepared{Name: p.Name, Parse: p.Parse})
	}
	return m
}

// decodeRequest converts a request from the generated type. It computes the arrival
// from now and BudgetMicros, the time since the arrival when the request was sent.
func decodeRequest(m *sibling.Request, now time.Time) request.Request {
	r := request.Request{
		Group: m.GetGroup(), Database: m.GetDatabase(), Caller: m.GetCaller(), Class: m.GetClass(),
		Key: m.GetKey(), SessionName: m.GetSessionName(), Required: decodePosition(m.GetRequired()),
		ReadOnly: m.GetReadOnly(), OpensTransaction: m.GetOpens(), DescribeOnly: m.GetDescribes(), Pin: m.GetPin(), Payload: m.GetPayload(),
		Fingerprint: m.GetFingerprint(),
		Arrived:     now.Add(-decodeDuration(m.GetBudgetMicros())),
	}
	for _, p := range m.GetPrepared() {
		r.Prepared = append(r.Prepared, request.Prepared{Name: p.GetName(), Parse: p.GetParse()})
	}
	return r
}

// encodeAnswer converts an answer to the generated type.
func encodeAnswer(a request.Answer) *sibling.Answer {
	return &sibling.Answer{
		Outcome: int32(a.Outcome), Payload: a.Payload, Position: encodePosition(a.Position),
		Pin: a.Pin, Status: uint32(a.Status), Moved: a.Moved, Replica: a.Replica,
		Code: a.Refusal.Code, Message: a.Refusal.Message, Hint: a.Refusal.Hint,
		RetryAfterMicros: a.Refusal.RetryAfter.Microseconds(),
	}
}

// decodeAnswer converts an answer from the generated type. If the answer leaves a
// transaction open, that transaction is pinned at the proxy named from.
func decodeAnswer(m *sibling.Answer, from string) request.Answer {
	a := request.Answer{
		Outcome: request.Outcome(m.GetOutcome()), Payload: m.GetPayload(),
		Position: decodePosition(m.GetPosition()), Status: request.Status(m.GetStatus()),
		Moved: m.GetMoved(), Replica: m.GetReplica(),
		Refusal: request.Refusal{
			Code: m.GetCode(), Message: m.GetMessage(), Hint: m.GetHint(),
			RetryAfter: decodeDuration(m.GetRetryAfterMicros()),
		},
	}
	if m.GetPin() != 0 {
		a = a.WithPin(from, m.GetPin())
	}
	return a
}

// encodePosition returns nil for the zero position.
func encodePosition(p position.Position) *sibling.Position {
	if p.IsZero() {
		return nil
	}
	return &sibling.Position{Term: p.Term, Log: p.Log}
}

func decodePosition(m *sibling.Position) position.Position {
	return position.Position{Term: m.GetTerm(), Log: m.GetLog()}
}

func encodeProxy(p membership.Proxy) *sibling.Proxy {
	return &sibling.Proxy{
		Name: p.Name, DataCentre: p.DataCentre, Address: p.Address,
		Incarnation: p.Incarnation, State: int32(p.State),
	}
}

func decodeProxy(m *sibling.Proxy) membership.Proxy {
	return membership.Proxy{
		Name: m.GetName(), DataCentre: m.GetDataCentre(), Address: m.GetAddress(),
		Incarnation: m.GetIncarnation(), State: membership.State(m.GetState()),
	}
}

func encodeProxies(proxies []membership.Proxy) []*sibling.Proxy {
	messages := make([]*sibling.Proxy, 0, len(proxies))
	for _, p := range proxies {
		messages = append(messages, encodeProxy(p))
	}
	return messages
}

// decodeProxies leaves out entries without a name and those whose state is unknown.
func decodeProxies(messages []*sibling.Proxy) []membership.Proxy {
	proxies := make([]membership.Proxy, 0, len(messages))
	for _, m := range messages {
		if m.GetName() != "" && m.GetState() >= int32(membership.Live) && m.GetState() <= int32(membership.Dead) {
			proxies = append(proxies, decodeProxy(m))
		}
	}
	return proxies
}

// encodeHandover converts a handover of a group by the proxy from.
func encodeHandover(from, group string, h owner.Handover) *sibling.Handover {
	m := &sibling.Handover{
		From: from, Group: group, Term: h.Term, Primary: h.Primary,
		Floor: encodePosition(h.SessionFloor), Held: encodePosition(h.Committed),
	}
	for _, s := range h.Sessions {
		m.Sessions = append(m.Sessions, &sibling.NamedSession{Name: s.Name, Position: encodePosition(s.Position)})
	}
	for _, k := range h.Keys {
		m.Keys = append(m.Keys, &sibling.KeyOutcome{Key: k.Key, Answer: encodeAnswer(k.Answer)})
	}
	return m
}

// decodeHandover converts a handover from the generated type.
func decodeHandover(m *sibling.Handover) owner.Handover {
	h := owner.Handover{
		Term: m.GetTerm(), Primary: m.GetPrimary(),
		SessionFloor: decodePosition(m.GetFloor()), Committed: decodePosition(m.GetHeld()),
	}
	for _, s := range m.GetSessions() {
		h.Sessions = append(h.Sessions, sessions.Session{Name: s.GetName(), Position: decodePosition(s.GetPosition())})
	}
	for _, k := range m.GetKeys() {
		h.Keys = append(h.Keys, idempotency.Entry{Key: k.GetKey(), Answer: decodeAnswer(k.GetAnswer(), m.GetFrom())})
	}
	return h
}

// maxDuration is the longest time in a message. A longer one would not fit a Duration, and
// could come out as a negative one.
const maxDuration = 1000 * time.Hour

// decodeDuration converts a time in microseconds, at least zero and at most maxDuration.
func decodeDuration(micros int64) time.Duration {
	return time.Duration(min(max(micros, 0), maxDuration.Microseconds())) * time.Microsecond
}
