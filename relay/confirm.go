package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"

	"github.com/carawaystile/carawaystile/fleet"
)

// A request for a connection with headerProbe is a test whether a process listens at the
// endpoint's address. The relay tests it anew, whatever it has observed before, and closes the
// connection. A relay of an earlier version ignores the header and relays a connection, or
// rejects it by an earlier observation.

// headerProbe marks a test.
const headerProbe = "Carawaystile-Relay-Probe"

// accepted: the endpoint's address accepted the connection of a test.
const accepted Reason = "accepted"

// ConfirmEnded reports whether other instances find that no process listens at an endpoint's
// address any more. An instance of another zone may be partitioned from the endpoint, so
// instances of the endpoint's zone decide where there are any. Two of them must be refused, or
// one if it is the only one, and none may be accepted.
func (d *Dialer) ConfirmEnded(ctx context.Context, to *fleet.Endpoint) bool {
	witnesses := d.witnesses(to)
	needed := min(verdictsNeeded, len(witnesses))
	refusals := 0
	for _, witness := range witnesses[:min(len(witnesses), maxAsked)] {
		if ctx.Err() != nil {
			return false
		}
		switch d.probeThrough(ctx, witness, to) {
		case Refused:
			refusals++
		case accepted:
			return false
		}
		if refusals == needed {
			return needed > 0
		}
	}
	return false
}

// witnesses returns the other instances in the endpoint's zone in random order, or those of all
// zones if it has none.
func (d *Dialer) witnesses(to *fleet.Endpoint) []Instance {
	all := slices.Clone(d.options.Instances())
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	near := slices.DeleteFunc(slices.Clone(all), func(one Instance) bool { return one.Zone != to.Zone })
	if len(near) > 0 {
		return near
	}
	return all
}

// probeThrough has one instance test the endpoint.
func (d *Dialer) probeThrough(ctx context.Context, witness Instance, to *fleet.Endpoint) Reason {
	conn, rejected := d.ask(ctx, witness, to, true)
	if rejected != nil {
		return rejected.Reason
	}
	_ = conn.Close()
	return accepted
}

// serveProbe tests an endpoint for another instance. Earlier observations of the endpoint do not
// count, but a relay that has lost its links, or does not know the endpoint, cannot tell.
func (s *Server) serveProbe(w http.ResponseWriter, r *http.Request, to *fleet.Endpoint) {
	reason := s.options.Admit(to)
	switch reason {
	case "", Unreachable, PushedBack, Leaving:
		reason = s.probe(r.Context(), to)
	}
	w.Header().Set(headerReason, string(reason))
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// probe opens and closes a connection to the endpoint.
func (s *Server) probe(ctx context.Context, to *fleet.Endpoint) Reason {
	conn, reason := s.connect(ctx, to)
	if reason != "" {
		return reason
	}
	s.close(conn)
	return accepted
}
