package callerconn

import (
	"container/list"
	"context"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/bufferbudget"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/internal/shutdown"
	"github.com/carawaystile/carawaystile/metrics"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// closeIdleDelay is how long a connection that becomes idle while the instance drains stays open
	// for a request that is on its way.
	closeIdleDelay = 50 * time.Millisecond
	// closeTimeout bounds the wait for callers whose requests arrive while the instance ends.
	closeTimeout = time.Second
	// logInterval is the shortest time between two log lines on evicted connections.
	logInterval = time.Second
	// slowHeader is the time after which a header that is not complete gives way to any other. A packet that is sent
	// again takes less.
	slowHeader = time.Second
)

// Limits bounds what a client may send, and for how long it may take. Zero values are no bounds.
type Limits struct {
	// HeaderBytes bounds the header of a request.
	HeaderBytes int
	// HeaderTimeout bounds the time for a header, and IdleTimeout that between two requests.
	HeaderTimeout, IdleTimeout time.Duration
}

// Options configures the connections of a listener.
type Options struct {
	// Name names the listener in the log and in metrics.
	Name string
	// Max is the number of connections.
	Max int
	// Budget accounts for the headers of all connections; nil for no bound. It may be shared with other listeners.
	Budget *bufferbudget.Budget
	// Limits returns the limits in force; nil for none.
	Limits func() Limits
	// Registry receives the metrics; nil for none.
	Registry *metrics.Registry
	Log      *zap.Logger
	// Now reads the process's monotonic clock.
	Now func() tables.Instant
}

func (o *Options) limits() Limits {
	if o.Limits == nil {
		return Limits{}
	}
	return o.Limits()
}

// Connections bounds the connections that clients keep, and the memory of the headers that they send. At the limit a
// new connection takes the place of another: of one that takes long to send a header, or else of the one that has
// been idle for longest, whose client loses nothing but the connection, while a new one that is refused
// costs a request its first attempt. A new connection is closed unread if all others serve requests. They are those
// of a Listener. It is safe for concurrent use.
type Connections struct {
	options Options
	// lingering counts the refused connections that wait for their peers.
	lingering atomic.Int64

	mu sync.Mutex
	// open holds all connections, with their place in idle or reading; nil for one that serves a request.
	open map[*conn]*list.Element
	// idle lists the idle connections, the longest idle first, and reading those that wait for their first request or
	// have begun to read one, the oldest first.
	idle, reading *list.List
	// leaving holds the connections that are being closed. They do not count towards the limit.
	leaving map[*conn]bool
	// closing is set once idle connections are closed at once. allClosed is closed when no connection is
	// open any more; nil if nothing waits for that.
	closing   bool
	allClosed chan struct{}
	evicted   int
	loggedAt  tables.Instant

	logMu sync.Mutex
	// refused counts the refusals since the last log line, by reason.
	refused          map[string]int
	refusalsLoggedAt tables.Instant
}

// New returns the connections of a listener.
func New(o Options) *Connections {
	if o.Budget == nil {
		o.Budget = bufferbudget.New(math.MaxInt64)
	}
	l := &Connections{
		options: o, open: map[*conn]*list.Element{}, idle: list.New(), reading: list.New(), loggedAt: -logInterval,
		leaving: map[*conn]bool{}, refused: map[string]int{}, refusalsLoggedAt: -logInterval,
	}
	l.registerGauge(o.Registry)
	return l
}

// registerGauge registers the gauge of the memory that headers hold.
func (l *Connections) registerGauge(registry *metrics.Registry) {
	if registry == nil {
		return
	}
	held := registry.Gauge("carawaystile_header_bytes", "Memory that the headers of the listener's connections hold, by listener.",
		metrics.Label{Name: "listener", Value: l.options.Name})
	registry.BeforeWrite(func() { held.Update(float64(l.headerBytes())) })
}

// headerBytes returns the memory that the headers of all connections hold.
func (l *Connections) headerBytes() (bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		bytes += c.holder.Bytes()
	}
	return bytes
}

// Observe is the ConnState hook of an http.Server.
func (l *Connections) Observe(accepted net.Conn, state http.ConnState) {
	c, ok := accepted.(*conn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew:
		l.open[c] = l.reading.PushBack(c)
		if len(l.open)-len(l.leaving) > l.options.Max {
			l.makeRoom(c)
		}
	case http.StateActive:
		c.endHeader()
		l.unlist(c)
		if !c.silenced.Load() { // net/http reports this state also after a read that failed
			delete(l.leaving, c)
		}
	case http.StateIdle:
		c.awaitRequest()
		l.unlist(c)
		l.open[c] = l.idle.PushBack(c)
		if l.closing {
			time.AfterFunc(closeIdleDelay, c.evict)
		}
	default:
		l.unlist(c)
		delete(l.leaving, c)
		delete(l.open, c)
		c.holder.Close()
		if len(l.open) == 0 && l.allClosed != nil {
			close(l.allClosed)
			l.allClosed = nil
		}
	}
}

// beginHeader records that the first part of a request was read on an idle connection.
func (l *Connections) beginHeader(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unlist(c)
	delete(l.leaving, c)
	l.open[c] = l.reading.PushBack(c)
}

// endWrites records that a connection is closed soon: net/http waits for the peer to read the last response.
func (l *Connections) endWrites(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, open := l.open[c]; open {
		l.leaving[c] = true
	}
}

// CloseIdle closes idle connections, and from now on those that become idle soon after that. Their callers
// send the next request to another instance.
func (l *Connections) CloseIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	for place := l.idle.Front(); place != nil; place = place.Next() {
		place.Value.(*conn).evict()
	}
}

// Close closes idle connections and waits until no connection is open, or the context ends.
func (l *Connections) Close(ctx context.Context) {
	l.CloseIdle()
	l.mu.Lock()
	if len(l.open) == 0 {
		l.mu.Unlock()
		return
	}
	closed := make(chan struct{})
	l.allClosed = closed
	l.mu.Unlock()
	select {
	case <-closed:
	case <-ctx.Done():
	}
}

// Flush ends a server: it closes idle connections, waits until callers have their responses, and closes the
// listener. A request that has begun to arrive is still answered.
func (l *Connections) Flush(ctx context.Context, server *http.Server) {
	bounded, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	l.Close(bounded)
	shutdown.Flush(ctx, server)
}

// unlist removes a connection from the list that it is in.
func (l *Connections) unlist(c *conn) {
	if place := l.open[c]; place != nil {
		l.idle.Remove(place) // does nothing for a place in another list
		l.reading.Remove(place)
		l.open[c] = nil
	}
}

// makeRoom closes a connection for one that was added.
func (l *Connections) makeRoom(added *conn) {
	l.evicted++
	oldest := l.reading.Front().Value.(*conn)
	switch idlest := l.idle.Front(); {
	case oldest != added && time.Since(oldest.waitsSince()) >= slowHeader:
		l.abort(oldest, reasonSlow)
	case idlest != nil:
		c := idlest.Value.(*conn)
		l.unlist(c)
		l.leaving[c] = true
		c.evict()
	case oldest != added:
		l.abort(oldest, reasonConnections)
	default:
		l.leaving[added] = true
		_ = added.Close()
	}
	if now := l.options.Now(); now-l.loggedAt >= logInterval {
		events.CallerConnectionsLimited.Log(l.options.Log, zap.String("listener", l.options.Name), zap.Int("open", len(l.open)),
			zap.Int("limit", l.options.Max), zap.Int("evicted", l.evicted))
		l.evicted, l.loggedAt = 0, now
	}
}

// abort closes a connection that sends a header.
func (l *Connections) abort(c *conn, reason string) {
	l.unlist(c)
	l.leaving[c] = true
	c.abort()
	l.count(reason)
}

// reserve reserves memory for the header that a connection sends. If there is none, it is taken from a header that
// takes long, or else from the largest one, if that is larger.
func (l *Connections) reserve(c *conn, bytes int64) bool {
	if c.holder.Reserve(bytes) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for !c.isAborted() {
		victim := l.victim(c, c.holder.Bytes()+bytes)
		if victim == nil {
			return false
		}
		l.abort(victim, reasonSlow)
		if c.holder.Reserve(bytes) {
			return true
		}
	}
	return false
}

// victim returns the connection whose header gives way to that of another, which holds so many bytes, or nil.
func (l *Connections) victim(other *conn, bytes int64) *conn {
	var largest *conn
	for place := l.reading.Front(); place != nil; place = place.Next() {
		c := place.Value.(*conn)
		held := c.holder.Bytes()
		if c == other || held == 0 {
			continue
		}
		if time.Since(c.waitsSince()) >= slowHeader {
			return c
		}
		if held > bytes {
			largest, bytes = c, held
		}
	}
	return largest
}
