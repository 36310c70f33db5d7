// Package exchange is an HTTP/1.1 client with a connection pool that sends requests
// unchanged to endpoints. It reports which requests provably did not run. It parses HTTP
// with net/http but decides itself when a request is sent again: net/http retries some
// requests on its own, depending on their method, and so could run work twice that must
// run at most once.
package exchange

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/carawaystile/carawaystile/dialect"
	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/tables"
)

// Options configure a Client.
type Options struct {
	// Headers names the headers of requests and responses.
	Headers *dialect.Headers
	// Dial opens connections; nil means TCP.
	Dial engine.DialFunc
	// ConnectTimeout limits the time to open a connection. When the endpoint's accept
	// queue is full, TCP retransmits the SYN only after a second, so a longer timeout
	// rarely helps the client.
	ConnectTimeout time.Duration
	// MaxResponseBytes limits the body of a response that is not a stream.
	MaxResponseBytes int64
}

const (
	defaultConnectTimeout   = 200 * time.Millisecond
	defaultMaxResponseBytes = 8 << 20
	// idleSweepInterval is the time between two removals of expired connections from the
	// pool.
	idleSweepInterval = time.Second
	// maxIdleAtMostOnce is how long a reused connection may have been idle for work that
	// must run at most once. Endpoints that silently drop idle connections early do so
	// after seconds; a request on such a connection has an unknown outcome.
	maxIdleAtMostOnce = time.Second
)

// Client sends requests to endpoints. It is safe for concurrent use.
type Client struct {
	headers          *dialect.Headers
	pool             *pool
	maxResponseBytes int64
	connectTimeout   time.Duration
}

// NewClient returns a client with an empty connection pool.
func NewClient(o Options) *Client {
	if o.Dial == nil {
		o.Dial = engine.DialTCP
	}
	if o.ConnectTimeout == 0 {
		o.ConnectTimeout = defaultConnectTimeout
	}
	if o.MaxResponseBytes == 0 {
		o.MaxResponseBytes = defaultMaxResponseBytes
	}
	return &Client{
		headers:          o.Headers,
		pool:             &pool{dial: o.Dial, idle: map[netip.AddrPort][]*connection{}},
		maxResponseBytes: o.MaxResponseBytes,
		connectTimeout:   o.ConnectTimeout,
	}
}

// Run closes expired idle connections until the context ends.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(idleSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.pool.closeExpired(now)
		}
	}
}

// Request is the HTTP request of one attempt.
type Request struct {
	// Attempt identifies the attempt in errors. ID is the client's request ID, which the
	// endpoint echoes.
	Attempt tables.AttemptID
	ID      string
	Method  string
	// Target is the path with its query, as the client sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// AtMostOnce is set for work that must not run twice.
	AtMostOnce bool
	// Repeated is set if the request was sent to the same address before. It then gets a connection of
	// its own, as a copy of the response to the earlier attempt names this one too.
	Repeated bool
	// Dial opens the connection for this request alone, and bounds the time itself; nil means
	// that of the client, which pools connections.
	Dial engine.DialFunc
	// OnSend is called before the first byte is sent on a connection; nil for nothing.
	OnSend func()
	// OnResend is called before the request is sent on another connection because nothing was written
	// on the first one; nil for nothing.
	OnResend func(cause error)
	// ReserveHeader reserves memory for the headers of responses, in bytes, beyond that of ordinary ones. Its error
	// ends the request. Nil for no bound.
	ReserveHeader func(bytes int64) error
	// OnForeign is called for each response that is skipped since it is not the request's own; nil for
	// nothing.
	OnForeign func(status int, evidence Evidence)
}

// connect returns a pooled connection for a request, or else a new one. A request without an ID gets a
// new one, as its response could not be distinguished from one to an earlier request.
func (c *Client) connect(ctx context.Context, to netip.AddrPort, r *Request) (*connection, error) {
	if r.Dial != nil || r.Repeated || r.ID == "" {
		return c.openConnection(ctx, to, r)
	}
	maxIdle := time.Duration(0)
	if r.AtMostOnce {
		maxIdle = maxIdleAtMostOnce
	}
	if pooled := c.pool.get(to, maxIdle); pooled != nil {
		return pooled, nil
	}
	return c.openConnection(ctx, to, r)
}

// openConnection opens a new connection. It fails with *engine.NotStartedError.
func (c *Client) openConnection(ctx context.Context, to netip.AddrPort, r *Request) (*connection, error) {
	conn, err := c.dial(ctx, to, r)
	if err == nil {
		opened := newConnection(conn, to)
		opened.unpooled = r.Dial != nil
		return opened, nil
	}
	return nil, &engine.NotStartedError{
		Attempt:     r.Attempt,
		Unreachable: errors.Is(err, syscall.ECONNREFUSED),
		Reason:      "no connection",
		Cause:       err,
	}
}

// dial opens the transport connection for a request.
func (c *Client) dial(ctx context.Context, to netip.AddrPort, r *Request) (net.Conn, error) {
	if r.Dial != nil {
		return r.Dial(ctx, to)
	}
	ctx, cancel := context.WithTimeout(ctx, c.connectTimeout)
	defer cancel()
	return c.pool.dial(ctx, to)
}

// CheckReachable opens and closes a connection to an endpoint. If that fails it also
// closes the pooled connections to the endpoint, which are of no use then.
func (c *Client) CheckReachable(ctx context.Context, to netip.AddrPort) error {
	dialCtx, cancel := context.WithTimeout(ctx, c.connectTimeout)
	defer cancel()
	conn, err := c.pool.dial(dialCtx, to)
	if err != nil {
		c.pool.closeAll(to)
		return err
	}
	_ = conn.Close()
	return nil
}
