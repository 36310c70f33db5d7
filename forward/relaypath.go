package forward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/bufferbudget"
	"github.com/carawaystile/carawaystile/dialect"
	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/relay"
	"github.com/carawaystile/carawaystile/tables"
)

// Relay opens connections to endpoints through other instances.
type Relay interface {
	// Dial opens a connection to an endpoint and returns the instance that relays it. The
	// errors are those of relay.Dialer.
	Dial(ctx context.Context, to *fleet.Endpoint) (net.Conn, tables.InstanceID, error)
	// Peers reports whether there are other instances.
	Peers() relay.Peers
	// ConfirmEnded reports whether other instances find that no process listens at the
	// endpoint's address any more. refused is set if it has refused a connection of this
	// instance.
	ConfirmEnded(ctx context.Context, to *fleet.Endpoint, refused bool) bool
}

// relayDial returns the function that opens the connection of a relayed attempt, or nil for an
// attempt over this instance's own link.
func (a *attempt) relayDial() engine.DialFunc {
	if !a.placement.Relayed {
		return nil
	}
	return func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
		conn, via, err := a.request.server.options.Relay.Dial(ctx, &a.placement.Endpoint)
		a.via = via
		return conn, err
	}
}

// viaFields returns the field that names the instance through which the attempt has gone, if any.
func (a *attempt) viaFields() []zap.Field {
	if a.via == "" {
		return nil
	}
	return []zap.Field{zap.String("via", string(a.via))}
}

// trackPending has the health checker probe the endpoint if it does not respond in time. The
// probes go over this instance's own link, so they say nothing of a relayed attempt.
func (a *attempt) trackPending() (endWait func()) {
	if a.placement.Relayed {
		return func() {}
	}
	return a.request.server.healthChecker.trackPending(a)
}

// SetRelayAvailable sets whether there are other instances that may relay attempts.
func (s *Server) SetRelayAvailable(available bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch.SetRelayAvailable(available && s.options.Relay != nil)
}

// LinksLost reports whether this instance has lost its links to all endpoints.
func (s *Server) LinksLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.LinksLost()
}

// AdmitRelay decides whether this instance connects to an endpoint for another one. It is the
// Admit of a relay.Server.
func (s *Server) AdmitRelay(to *fleet.Endpoint) relay.Reason {
	if !s.gate.State().Ready() {
		return relay.Draining
	}
	// The memory for bodies of this instance's own clients goes first. Responses and streams do not
	// count: they occupy most of the budget when callers read slowly, and leave a part of it free.
	if 2*s.buffers.budget.UsedBy(bufferbudget.RequestBody) > s.buffers.budget.Limit() {
		return relay.Busy
	}
	switch s.judgeRelay(to) {
	case dispatch.RelayAllowed:
		return ""
	case dispatch.RelayPartitioned:
		return relay.Partitioned
	case dispatch.RelayUnreachable:
		return relay.Unreachable
	case dispatch.RelayPushedBack:
		return relay.PushedBack
	case dispatch.RelayLeaving:
		return relay.Leaving
	default:
		return relay.UnknownEndpoint
	}
}

func (s *Server) judgeRelay(to *fleet.Endpoint) dispatch.RelayVerdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.JudgeRelay(s.options.Now(), to)
}

// ObserveRelayedResponse records what an endpoint announces to this instance in a response that
// this instance relays. The endpoint sees this instance as the sender, so a back-off binds it.
func (s *Server) ObserveRelayedResponse(from tables.EndpointID, status int, header http.Header) {
	if draining, ok := dialect.ParseDraining(header.Get(s.headers.Draining)); ok && draining && status != http.StatusMisdirectedRequest {
		s.RecordCallDraining(from)
	}
	text := header.Get(s.headers.RetryAfter)
	if status != http.StatusServiceUnavailable || text == "" {
		return
	}
	if after, ok := dialect.ParseRetryAfter(text); ok {
		s.RecordCallPushback(from, after)
	}
}

// refusesAll reports whether an endpoint that has refused a connection of this instance refuses
// those of other instances too. Without another instance the own observation stands.
func (s *Server) refusesAll(ctx context.Context, endpoint *fleet.Endpoint) bool {
	if s.options.Relay == nil || !s.mayRelay() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, refusalCheckTimeout)
	defer cancel()
	conn, _, err := s.options.Relay.Dial(ctx, endpoint)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// refusalCheckTimeout bounds the time for other instances to confirm a refusal.
const refusalCheckTimeout = 500 * time.Millisecond
