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
)

// Options bound what an endpoint can cost a client in time and memory. Zero
// fields take the defaults below.
type Options struct {
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// ConnectTimeout bounds the opening of a connection.
	ConnectTimeout time.Duration
	// ResponseTimeout bounds the time from a request to the endpoint's first
	// word on it.
	ResponseTimeout time.Duration
	// ReadIdleTimeout bounds the time between two lines of a stream, heartbeats
	// included. It must be a few times HeartbeatInterval.
	ReadIdleTimeout time.Duration
	// CancelTimeout bounds the confirmation of a cancel.
	CancelTimeout time.Duration
	// IdleConnTimeout closes pooled connections. It must be shorter than the
	// endpoints' own, so that they rarely close one that is about to be used.
	IdleConnTimeout time.Duration
	// MaxIdleConnsPerEndpoint bounds the pooled connections per endpoint.
	MaxIdleConnsPerEndpoint int
	// MaxEventBytes bounds one line of a stream, AnswerBytes the whole answer of
	// a call.
	MaxEventBytes    int
	MaxResponseBytes int64
}

// HeartbeatInterval is the longest that an endpoint may let a stream rest
// without a line.
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
		o.Dial = newDialer(netip.Addr{}).DialContext
	}
	return o
}

// Counters are what a client dropped so far.
type Counters struct {
	// Mismatches are answers that named another attempt, boot or version.
	Mismatches uint64
	// Duplicates are tokens that came twice.
	Duplicates uint64
}

// HTTPClient speaks the protocol of docs/design/endpoint-protocol.md. It is
// safe for concurrent use.
type HTTPClient struct {
	options Options
	// pooled carries streams and reports. single opens a connection per call:
	// a call to a plain service may be work that must not be repeated, and on
	// a reused connection that the endpoint is just closing nobody could tell
	// whether the call was read.
	pooled *http.Transport
	single *http.Transport

	doubts doubts

	mismatches atomic.Uint64
	duplicates atomic.Uint64
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns a client that is bounded by the options.
func NewHTTPClient(options Options) *HTTPClient {
	options = options.withDefaults()
	return &HTTPClient{
		options: options,
		pooled:  newTransport(options, false),
		single:  newTransport(options, true),
	}
}

func newTransport(o Options, single bool) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, o.ConnectTimeout)
			defer cancel()
			return o.Dial(ctx, network, address)
		},
		DisableKeepAlives:      single,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    o.MaxIdleConnsPerEndpoint,
		IdleConnTimeout:        o.IdleConnTimeout,
		MaxResponseHeaderBytes: maxHeader,
	}
}

// Counters returns what was dropped so far.
func (c *HTTPClient) Counters() Counters {
	return Counters{Mismatches: c.mismatches.Load(), Duplicates: c.duplicates.Load()}
}

// CloseIdleConnections closes the pooled connections that are not in use.
func (c *HTTPClient) CloseIdleConnections() {
	c.pooled.CloseIdleConnections()
	c.single.CloseIdleConnections()
}

func endpointURL(at netip.AddrPort, path string) *url.URL {
	return &url.URL{Scheme: "http", Host: at.String(), Path: path}
}

// newRequest builds a request that net/http cannot repeat by itself once a
// byte of its body was read. net/http repeats a request on a fresh connection
// when a reused one breaks, if the request carries an Idempotency-Key and its
// body can be had again through GetBody. For work that must run at most once
// such a silent second run would break the promise, so GetBody stays nil. What
// remains is the repetition of requests of which nothing was written, which is
// harmless.
func newRequest(ctx context.Context, method string, to *url.URL, body *onceBody) *http.Request {
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
