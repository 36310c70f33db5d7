package relay

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/internal/readlimit"
	"github.com/carawaystile/carawaystile/systems/placement/rendezvous"
	"github.com/carawaystile/carawaystile/tables"
)

// Instance is an instance that may relay connections.
type Instance struct {
	ID   tables.InstanceID
	Zone tables.Zone
	// Address is where it serves other instances.
	Address netip.AddrPort
	// Size is its weight relative to others, and Loaded is set while it is near the limit of its
	// processor, link or memory. If both are zero for all instances, they are equal.
	Size   int
	Loaded bool
}

// DialerOptions configure a Dialer.
type DialerOptions struct {
	// Zone is the availability zone of this instance.
	Zone tables.Zone
	// Instances lists the other instances that live and serve clients.
	Instances func() []Instance
	// Peers reports whether there are other instances; nil if there always are.
	Peers func() Peers
	// RecentPeers returns how many other instances have been known at once recently, in all zones
	// and in the given one; nil counts only those of Instances.
	RecentPeers func(zone tables.Zone) (all, inZone int)
	// Dial opens connections to them.
	Dial engine.DialFunc
	// Now reads a monotonic clock.
	Now func() tables.Instant
}

const (
	// maxAsked bounds the instances that are asked for one connection, and maxAskedInZone
	// those of one zone while there are others: a whole zone may be partitioned.
	maxAsked       = 5
	maxAskedInZone = 2
	// maxRejections bounds the instances that reject a connection for a state of their own.
	// They answer at once and do not count towards maxAsked: most instances may be partitioned.
	maxRejections = 16
	// verdictsNeeded is how many instances must have failed to reach an endpoint before it
	// counts as unreachable for all.
	verdictsNeeded = 2
	// askTimeout bounds the time for one of them. It exceeds connectTimeout, within which a
	// relay connects to the endpoint.
	askTimeout     = 250 * time.Millisecond
	connectTimeout = 150 * time.Millisecond
	// An instance that did not relay is not asked again for a while. The time doubles with
	// each consecutive failure, from minBackoff to maxBackoff.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 4 * time.Second
	// busyBackoff is the time for an instance that is merely busy.
	busyBackoff = 100 * time.Millisecond
)

// Dialer opens connections to endpoints through other instances. It is safe for concurrent use.
type Dialer struct {
	options DialerOptions

	mu       sync.Mutex
	backoffs map[tables.InstanceID]backoff
}

// backoff is when an instance is asked again, and how often it has failed in a row.
type backoff struct {
	until  tables.Instant
	streak int
}

// NewDialer returns a Dialer that has asked no instance yet.
func NewDialer(o DialerOptions) *Dialer {
	return &Dialer{options: o, backoffs: map[tables.InstanceID]backoff{}}
}

// Dial opens a connection to an endpoint through another instance, whose ID it returns. It fails
// with *RejectedError if instances could not reach the endpoint, and with *NoRelayError if none
// has tried to. The connection carries one HTTP exchange.
func (d *Dialer) Dial(ctx context.Context, to *fleet.Endpoint) (net.Conn, tables.InstanceID, error) {
	var last, verdict *RejectedError
	asked, verdicts, rejections := 0, 0, 0
	candidates := d.candidates(to.Zone)
	for i := 0; i < len(candidates) && verdicts < verdictsNeeded && asked-rejections < maxAsked && rejections < maxRejections; i++ {
		relay := candidates[i]
		conn, rejected := d.ask(ctx, relay, to, false)
		if rejected == nil {
			d.recordSuccess(relay.ID)
			return conn, relay.ID, nil
		}
		if ctx.Err() != nil {
			return nil, "", rejected
		}
		asked++
		last = rejected
		d.recordFailure(relay.ID, rejected.Reason)
		if rejected.Reason.aboutEndpoint() {
			verdict = rejected
			verdicts++
			moveZoneToEnd(candidates[i+1:], relay.Zone)
		} else if rejected.Reason != Unresponsive {
			rejections++
		}
	}
	if verdict != nil {
		return nil, "", verdict
	}
	return nil, "", &NoRelayError{Asked: asked, Last: last}
}

// moveZoneToEnd moves the instances of a zone behind all others, whose order does not change. The
// instances of a zone may have lost their links together, so that none of them reaches any endpoint.
func moveZoneToEnd(instances []Instance, zone tables.Zone) {
	slices.SortStableFunc(instances, func(a, b Instance) int {
		switch {
		case a.Zone != zone && b.Zone == zone:
			return -1
		case a.Zone == zone && b.Zone != zone:
			return 1
		}
		return 0
	})
}

// candidates returns the instances to ask, in order: those of this instance's zone, since bytes
// between zones are expensive, then those of the endpoint's, then all others. Within a zone the
// order is random and weighted by size, so that the load is spread. Loaded instances come last.
func (d *Dialer) candidates(endpointZone tables.Zone) []Instance {
	all := d.options.Instances()
	rendezvous.Shuffle(all, func(one *Instance) int { return rendezvous.Weight(one.Size) })
	now := d.options.Now()
	var chosen, spare, loaded []Instance
	add := func(wanted func(Instance) bool) {
		count := 0
		for _, one := range all {
			if !wanted(one) || d.backingOff(one.ID, now) {
				continue
			}
			if one.Loaded {
				loaded = append(loaded, one)
				continue
			}
			if count++; count <= maxAskedInZone {
				chosen = append(chosen, one)
			} else {
				spare = append(spare, one)
			}
		}
	}
	own := d.options.Zone
	add(func(one Instance) bool { return one.Zone == own })
	add(func(one Instance) bool { return one.Zone == endpointZone && one.Zone != own })
	add(func(one Instance) bool { return one.Zone != endpointZone && one.Zone != own })
	return append(append(chosen, spare...), loaded...)
}

func (d *Dialer) backingOff(id tables.InstanceID, now tables.Instant) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now < d.backoffs[id].until
}

func (d *Dialer) recordSuccess(id tables.InstanceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.backoffs, id)
}

// recordFailure backs off from an instance unless the failure concerns the endpoint alone.
func (d *Dialer) recordFailure(id tables.InstanceID, reason Reason) {
	if reason.aboutEndpoint() && reason != Unreachable {
		return
	}
	now := d.options.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.backoffs[id]
	pause := min(minBackoff<<b.streak, maxBackoff)
	if reason == Busy {
		pause = busyBackoff
	}
	d.backoffs[id] = backoff{until: now + pause, streak: min(b.streak+1, maxDoublings)}
}

// maxDoublings caps the exponent of the back-off.
const maxDoublings = 4

// Forget drops the back-offs of instances that are no members any more.
func (d *Dialer) Forget(isGone func(tables.InstanceID) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.backoffs {
		if isGone(id) {
			delete(d.backoffs, id)
		}
	}
}

// ask asks one instance for a connection, or with probe for a test of the endpoint.
func (d *Dialer) ask(ctx context.Context, relay Instance, to *fleet.Endpoint, probe bool) (net.Conn, *RejectedError) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	raw, err := d.options.Dial(ctx, relay.Address)
	if err != nil {
		return nil, &RejectedError{Relay: relay.ID, Reason: Unresponsive, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	conn, reason, err := handshake(raw, relay.Address, to, probe)
	if conn != nil && stop() {
		return conn, nil
	}
	_ = raw.Close()
	if err == nil && conn != nil {
		err = ctx.Err()
		reason = Unresponsive
	}
	return nil, &RejectedError{Relay: relay.ID, Reason: reason, Cause: err}
}

// handshake requests the connection and reads the response.
func handshake(raw net.Conn, relay netip.AddrPort, to *fleet.Endpoint, probe bool) (net.Conn, Reason, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+relay.String()+Path, nil)
	if err != nil {
		return nil, Unresponsive, err
	}
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set("Upgrade", protocol)
	request.Header.Set(headerEndpoint, string(to.ID))
	request.Header.Set(headerAddress, to.Address.String())
	if probe {
		request.Header.Set(headerProbe, "1")
	}
	if err := request.Write(raw); err != nil {
		return nil, Unresponsive, err
	}
	limited := readlimit.NewHeadReader(raw)
	reader := bufio.NewReaderSize(limited, bufferBytes)
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, Unresponsive, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusSwitchingProtocols {
		limited.Lift()
		return &relayedConn{Conn: raw, body: httputil.NewChunkedReader(reader)}, "", nil
	}
	if reason := Reason(response.Header.Get(headerReason)); reason != "" {
		return nil, reason, nil
	}
	return nil, Unresponsive, &unexpectedStatusError{Status: response.Status}
}

// unexpectedStatusError means that what answered is not a relay.
type unexpectedStatusError struct{ Status string }

func (e *unexpectedStatusError) Error() string { return "unexpected status " + e.Status }

// relayedConn is a connection to an endpoint through a relay. It is used by one goroutine for
// reading and one for writing.
type relayedConn struct {
	net.Conn
	// body decodes what the relay sends; its io.EOF is that of the endpoint.
	body interface{ Read([]byte) (int, error) }
}

func (c *relayedConn) Read(p []byte) (int, error) { return c.body.Read(p) }
