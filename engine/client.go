package engine

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/carawaystile/carawaystile/internal/defaults"
	"github.com/carawaystile/carawaystile/internal/httpresponse"
	"github.com/carawaystile/carawaystile/internal/keepalive"
	"github.com/carawaystile/carawaystile/internal/resetconn"
)

// Options limit the time and memory that an endpoint can cost a client. Zero fields take
// the defaults below.
type Options struct {
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// ConnectTimeout limits the time to open a connection.
	ConnectTimeout time.Duration
	// ResponseTimeout limits the time from a request to the accepted event of a stream,
	// to the response header of a load stream, and to the whole response of a report or
	// an order. Calls have no such limit.
	ResponseTimeout time.Duration
	// ReadIdleTimeout limits the time between two lines of a stream, heartbeats included.
	// It must be a few times HeartbeatInterval.
	ReadIdleTimeout time.Duration
	// CancelTimeout limits the time until an endpoint confirms a cancellation.
	CancelTimeout time.Duration
	// IdleConnTimeout is how long an idle connection stays in the pool. It must be
	// shorter than the endpoints' own idle timeout, so that an endpoint rarely closes a
	// connection that is about to be used.
	IdleConnTimeout time.Duration
	// MaxIdleConnsPerEndpoint limits the idle connections in the pool per endpoint.
	MaxIdleConnsPerEndpoint int
	// MaxEventBytes limits the size of one event or line of a token stream, and
	// MaxResponseBytes that of any other response and of the events of a load stream.
	MaxEventBytes    int
	MaxResponseBytes int64
}

// HeartbeatInterval is the longest time that an endpoint may leave a stream without a
// line.
const HeartbeatInterval = 500 * time.Millisecond

// The defaults of Options.
const (
	DefaultConnectTimeout          = 250 * time.Millisecond
	DefaultResponseTimeout         = time.Second
	DefaultReadIdleTimeout         = 3 * HeartbeatInterval
	DefaultCancelTimeout           = time.Second
	DefaultIdleConnTimeout         = 10 * time.Second
	DefaultMaxIdleConnsPerEndpoint = 256
	DefaultMaxEventBytes           = 64 << 10
	DefaultMaxResponseBytes        = 8 << 20
)

func (o Options) withDefaults() Options {
	defaults.Set(&o.ConnectTimeout, DefaultConnectTimeout)
	defaults.Set(&o.ResponseTimeout, DefaultResponseTimeout)
	defaults.Set(&o.ReadIdleTimeout, DefaultReadIdleTimeout)
	defaults.Set(&o.CancelTimeout, DefaultCancelTimeout)
	defaults.Set(&o.IdleConnTimeout, DefaultIdleConnTimeout)
	defaults.Set(&o.MaxIdleConnsPerEndpoint, DefaultMaxIdleConnsPerEndpoint)
	defaults.Set(&o.MaxEventBytes, DefaultMaxEventBytes)
	defaults.Set(&o.MaxResponseBytes, DefaultMaxResponseBytes)
	if o.Dial == nil {
		o.Dial = keepalive.Peers.Dialer(netip.Addr{}).DialContext
	}
	return o
}

// Counters count the data that a client has discarded.
type Counters struct {
	// Mismatches counts responses and events that named another attempt, boot or weights
	// version.
	Mismatches uint64
	// Duplicates counts tokens that were received twice.
	Duplicates uint64
}

// HTTPClient is the HTTP client for the protocol of docs/design/endpoint-protocol.md. It
// is safe for concurrent use.
type HTTPClient struct {
	options Options
	// pooled reuses connections; it carries streams and reports. unpooled opens a
	// connection per request. Calls to plain services use it, because their work may have
	// to run at most once: if an endpoint closes a reused connection during a request,
	// the client cannot know whether the request was read.
	pooled   httpresponse.Transport
	unpooled httpresponse.Transport

	unresponsive unresponsiveEndpoints

	mismatches atomic.Uint64
	duplicates atomic.Uint64
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns a client with the given limits.
func NewHTTPClient(options Options) *HTTPClient {
	options = options.withDefaults()
	return &HTTPClient{
		options:  options,
		pooled:   newTransport(options, false),
		unpooled: newTransport(options, true),
	}
}

// newTransport returns an HTTP transport, with a connection pool unless disableKeepAlives
// is set.
func newTransport(o Options, disableKeepAlives bool) httpresponse.Transport {
	return httpresponse.Transport{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, o.ConnectTimeout)
			defer cancel()
			conn, err := o.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return resetconn.New(conn), nil
		},
		DisableKeepAlives:      disableKeepAlives,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    o.MaxIdleConnsPerEndpoint,
		IdleConnTimeout:        o.IdleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
}

// Counters returns a snapshot of the counters.
func (c *HTTPClient) Counters() Counters {
	return Counters{Mismatches: c.mismatches.Load(), Duplicates: c.duplicates.Load()}
}

// CloseIdleConnections closes the pooled connections that are not in use.
func (c *HTTPClient) CloseIdleConnections() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

func endpointURL(at netip.AddrPort, path string) *url.URL {
	return &url.URL{Scheme: "http", Host: at.String(), Path: path}
}

// newRequest builds a request that net/http cannot retry once a byte of its body was read.
// net/http retries a request on a new connection when a reused one breaks, if the request
// carries an Idempotency-Key and GetBody can provide its body again. Such a hidden retry
// would break at-most-once execution, so GetBody stays nil. net/http then only retries
// requests of which nothing was written, which is harmless.
func newRequest(ctx context.Context, method string, to *url.URL, body *trackedBody) *http.Request {
	req := &http.Request{
		Method:     method,
		URL:        to,
		Host:       to.Host,
		Header:     make(http.Header, 4),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	if body != nil {
		req.Body = body
		req.ContentLength = int64(body.size)
	}
	return req.WithContext(ctx)
}
