// Package exchange sends requests unchanged to endpoints and gives back their
// answers, with proof of what did not run. It keeps connections between
// requests and reads HTTP by net/http's parser, but decides itself when a
// request is sent again: net/http repeats some requests on its own, by their
// method, and would run work twice that must run once.
package exchange

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/carawaystile/carawaystile/dialect"
	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/tables"
)

// Options set a Client up.
type Options struct {
	Headers *dialect.Headers
	// Dial opens connections; nil means TCP.
	Dial engine.DialFunc
	// ConnectTimeout bounds the opening of a connection. A packet that opens one
	// is sent again after a second when an endpoint's queue is full, so a longer
	// wait only helps the caller in the rarest case.
	ConnectTimeout time.Duration
	// MaxResponseBytes bounds an answer that is not a stream.
	MaxResponseBytes int64
}

const (
	defaultConnectTimeout = 200 * time.Millisecond
	defaultAnswerBytes    = 8 << 20
	// sweepPeriod is how often connections are closed whose time is over.
	sweepPeriod = time.Second
	// freshOnce is how long a connection may have rested for work that must run
	// once. An endpoint that drops idle connections early without a word does so
	// after seconds; a request that meets it there has an unknown outcome.
	freshOnce = time.Second
)

// Client sends requests to endpoints. It is safe for concurrent use.
type Client struct {
	headers *dialect.Headers
	pool    *pool
	limit   int64
	timeout time.Duration
}

// NewClient returns a client without connections.
func NewClient(o Options) *Client {
	if o.Dial == nil {
		o.Dial = engine.DialTCP
	}
	if o.ConnectTimeout == 0 {
		o.ConnectTimeout = defaultConnectTimeout
	}
	if o.MaxResponseBytes == 0 {
		o.MaxResponseBytes = defaultAnswerBytes
	}
	return &Client{
		headers: o.Headers,
		pool:    &pool{dial: o.Dial, idle: map[netip.AddrPort][]*connection{}},
		limit:   o.MaxResponseBytes,
		timeout: o.ConnectTimeout,
	}
}

// Run closes idle connections in time, until the context ends.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.pool.sweep(now)
		}
	}
}

// Request is one attempt.
type Request struct {
	// Attempt names the attempt in failures; ID is the caller's identity of the
	// request, which the endpoint echoes.
	Attempt tables.AttemptID
	ID      string
	Method  string
	// Target is the path with its query, as the caller wrote it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// AtMostOnce is set for work that must not run twice.
	AtMostOnce bool
}

// connect returns a connection for a request and whether it carried one before.
func (c *Client) connect(ctx context.Context, to netip.AddrPort, r *Request) (*connection, error) {
	fresh := time.Duration(0)
	if r.AtMostOnce {
		fresh = freshOnce
	}
	if kept := c.pool.take(to, fresh); kept != nil {
		return kept, nil
	}
	return c.fresh(ctx, to, r)
}

func (c *Client) fresh(ctx context.Context, to netip.AddrPort, r *Request) (*connection, error) {
	bounded, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	conn, err := c.pool.open(bounded, to)
	if err == nil {
		return conn, nil
	}
	return nil, &engine.NotStartedError{
		Attempt:     r.Attempt,
		Unreachable: errors.Is(err, syscall.ECONNREFUSED),
		Reason:      "no connection",
		Cause:       err,
	}
}

// CheckReachable says whether an endpoint takes a connection; kept ones are of no use if it
// does not, and are closed.
func (c *Client) CheckReachable(ctx context.Context, to netip.AddrPort) error {
	bounded, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	conn, err := c.pool.open(bounded, to)
	if err != nil {
		c.pool.forget(to)
		return err
	}
	_ = conn.Close()
	return nil
}
