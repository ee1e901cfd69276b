package sibling

import (
	"context"
	"net"
	"runtime/debug"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"eelgrassladder.example/eelgrassladder"
	"eelgrassladder.example/eelgrassladder/gen/peer"
	"eelgrassladder.example/eelgrassladder/internal/host/listener"
	"eelgrassladder.example/eelgrassladder/internal/model/heartbeat"
)

// Handler answers the calls of other proxies.
type Handler interface {
	// Answer returns the answer to a heartbeat.
	Answer(m heartbeat.Message) heartbeat.Message
	// AnswerClose adopts the closed record of a group. It returns what this proxy knows of
	// the group, once this proxy reports no more commits of the old primary as
	// acknowledged.
	AnswerClose(ctx context.Context, r heartbeat.Record) (heartbeat.PrimaryReport, error)
}

// Lender lends tokens of teams to other proxies.
type Lender interface {
	// Lend takes up to a number of tokens of a team for another proxy, and returns how many.
	Lend(team string, tokens, reserve int) int
}

// Server answers the calls of other proxies. Use NewServer to make one.
type Server struct {
	handler Handler
	lender  Lender
	// budget limits what other proxies hold.
	budget eelgrassladder.Budget
	// delegations serves the operations of other proxies; nil if this proxy runs none.
	delegations DelegationHandler
}

// DelegationHandler serves streams of operations.
type DelegationHandler interface {
	// RunsDelegations reports whether this proxy takes further operations.
	RunsDelegations() bool
	// ServeDelegations runs the operations of a stream until Receive fails. It then rolls
	// back the open ones.
	ServeDelegations(s *DelegationStream)
}

// Option configures a Server.
type Option func(*Server)

// WithBudget sets what limits the memory that other proxies hold. Without it they may hold any
// amount.
func WithBudget(b eelgrassladder.Budget) Option { return func(s *Server) { s.budget = b } }

// WithDelegations makes the server serve operations of other proxies.
func WithDelegations(h DelegationHandler) Option { return func(s *Server) { s.delegations = h } }

// NewServer returns a Server that answers each call with the result of the handler or the
// lender.
func NewServer(h Handler, l Lender, options ...Option) *Server {
	s := &Server{handler: h, lender: l, budget: eelgrassladder.UnlimitedMemory{}}
	for _, option := range options {
		option(s)
	}
	return s
}

// Serve accepts connections until ctx ends, and then returns the error of ctx.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	mux := drpcmux.New()
	if err := peer.DRPCRegisterPeer(mux, s); err != nil {
		return errors.WithStack(err)
	}
	options := drpcserver.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessage},
		Stream: drpcstream.Options{MaximumBufferSize: delegationBufferBytes},
	}}
	bounded := listener.NewBounded(l, maxConnections, func(address string) {
		klog.InfoS("Connection of another proxy closed for a new one", "Client", address, "Limit", maxConnections)
	})
	err := drpcserver.NewWithOptions(mux, options).Serve(ctx, listener.NewCharged(bounded, s.budget, bounds))
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errors.WithStack(err)
}

// Exchange answers one heartbeat; it implements the generated service. A panic ends the
// call, not the process.
func (s *Server) Exchange(_ context.Context, m *peer.Beat) (answer *peer.Beat, err error) {
	defer recoverPanic("heartbeat", m.GetSender(), &err)
	return encode(s.handler.Answer(decode(m))), nil
}

// Close answers one notice of a closed record; it implements the generated service. A
// panic ends the call, not the process.
func (s *Server) Close(ctx context.Context, m *peer.Record) (answer *peer.Sight, err error) {
	defer recoverPanic("closed record", m.GetGroup(), &err)
	report, err := s.handler.AnswerClose(ctx, decodeRecord(m))
	if err != nil {
		return nil, err
	}
	return encodeReport(report), nil
}

// Lend answers one request for tokens; it implements the generated service. A panic ends the
// call, not the process.
func (s *Server) Lend(_ context.Context, m *peer.LoanRequest) (answer *peer.Loan, err error) {
	defer recoverPanic("loan request", m.GetTeam(), &err)
	return &peer.Loan{Tokens: uint32(s.lender.Lend(m.GetTeam(), decodeTokens(m.GetTokens()), decodeTokens(m.GetReserve())))}, nil
}

// Delegate serves one stream of operations; it implements the generated service. A panic ends
// the stream, not the process.
func (s *Server) Delegate(call peer.DRPCPeer_DelegateStream) (err error) {
	defer recoverPanic("stream of operations", "", &err)
	if s.delegations == nil || !s.delegations.RunsDelegations() {
		return errors.New("this proxy runs no operations of others")
	}
	if err := call.Send(&peer.DelegatedAnswer{}); err != nil {
		return errors.WithStack(err)
	}
	s.delegations.ServeDelegations(newDelegationStream(call))
	return nil
}

// recoverPanic turns a panic of a call into its error.
func recoverPanic(call, subject string, err *error) {
	if r := recover(); r != nil {
		klog.ErrorS(nil, "Answering another proxy panicked", "Call", call, "Subject", subject, "Reason", r, "Stack", string(debug.Stack()))
		*err = errors.Errorf("answering a %s of %q panicked: %v", call, subject, r)
	}
}
