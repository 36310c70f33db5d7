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

// Peers says whether there are other instances.
type Peers uint8

const (
	// PeersUnknown: the instance has not learned yet whether there are others.
	PeersUnknown Peers = iota
	// NoPeers: the instance is the only one, and has been for some time.
	NoPeers
	// HasPeers: there are others, or there were recently. They may be partitioned.
	HasPeers
)

// Peers reports whether there are other instances.
func (d *Dialer) Peers() Peers {
	if d.options.Peers == nil {
		return HasPeers
	}
	return d.options.Peers()
}

// ConfirmEnded reports whether other instances find that no process listens at an endpoint's
// address any more. refused is set if the endpoint has refused a connection of this instance.
//
// An instance of another zone may be partitioned from the endpoint, so instances of the
// endpoint's zone decide if it has or recently had any. Two of those that are asked must be
// refused, or one if there has been only one recently, and none may be accepted.
func (d *Dialer) ConfirmEnded(ctx context.Context, to *fleet.Endpoint, refused bool) bool {
	confirmers, known := d.confirmers(to, refused)
	needed := min(verdictsNeeded, known)
	confirmers = confirmers[:min(len(confirmers), maxAsked)]
	if needed == 0 || len(confirmers) < needed {
		return false
	}
	reasons := make(chan Reason, len(confirmers))
	for _, confirmer := range confirmers {
		go func() { reasons <- d.probeThrough(ctx, confirmer, to) }()
	}
	refusals := 0
	for range confirmers {
		switch <-reasons {
		case Refused:
			refusals++
		case accepted:
			return false
		}
	}
	return refusals >= needed
}

// confirmers returns the other instances that decide whether the endpoint has ended, in random
// order, and how many of them have been known at once recently. They are those of the
// endpoint's zone. If it has had none, they are those of all zones; if this instance is the only
// one of the zone, its own connection must have been refused too.
func (d *Dialer) confirmers(to *fleet.Endpoint, refused bool) (instances []Instance, known int) {
	all := slices.Clone(d.options.Instances())
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	inZone := slices.DeleteFunc(slices.Clone(all), func(one Instance) bool { return one.Zone != to.Zone })
	recent, recentInZone := 0, 0
	if d.options.RecentPeers != nil {
		recent, recentInZone = d.options.RecentPeers(to.Zone)
	}
	switch {
	case max(len(inZone), recentInZone) > 0:
		return inZone, max(len(inZone), recentInZone)
	case to.Zone == d.options.Zone && !refused:
		return nil, 0
	}
	return all, max(len(all), recent)
}

// probeThrough has one instance test the endpoint.
func (d *Dialer) probeThrough(ctx context.Context, confirmer Instance, to *fleet.Endpoint) Reason {
	conn, rejected := d.ask(ctx, confirmer, to, true)
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
