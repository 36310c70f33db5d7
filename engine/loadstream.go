package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// maxMissedIntervals is the number of intervals without an event after which a load
// stream has failed. The timeout is at least ReadIdleTimeout divided by the same number,
// so that one delayed process does not end streams with short intervals.
const maxMissedIntervals = 3

// LoadStream is a subscription to the load reports of an endpoint. It must be used by one
// goroutine at a time.
type LoadStream interface {
	// Next waits for the next report. The stream has ended after an error.
	Next() (Load, error)
	// Close ends the subscription.
	Close()
}

// LoadStreamer opens load streams. For an endpoint that only supports polling it returns
// *LoadStreamUnsupportedError.
type LoadStreamer interface {
	LoadStream(ctx context.Context, at netip.AddrPort, interval time.Duration) (LoadStream, error)
}

var _ LoadStreamer = (*HTTPClient)(nil)

// LoadStreamUnsupportedError means that an endpoint responded with a single report, Load,
// instead of a stream.
type LoadStreamUnsupportedError struct{ Load Load }

// Error returns a fixed text.
func (e *LoadStreamUnsupportedError) Error() string { return "endpoint does not stream load reports" }

// WantsLoadStream reports whether a request for the load asks for a stream, and the
// interval between its events. An interval that is not a number or is below one
// millisecond counts as one millisecond.
func WantsLoadStream(r *http.Request) (time.Duration, bool) {
	if !strings.Contains(r.Header.Get(headerAccept), typeEventStream) {
		return 0, false
	}
	millis, _ := strconv.ParseInt(r.URL.Query().Get("interval_ms"), 10, 32)
	return max(time.Duration(millis), 1) * time.Millisecond, true
}

// httpLoadStream is a LoadStream over server-sent events.
type httpLoadStream struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	// readTimer cancels the stream at the read timeout. It runs only while Next waits.
	readTimer   *time.Timer
	readTimeout time.Duration
	// maxBytes limits the size of one event, and the total size of the attempt IDs of one
	// report: deltas accumulate over a stream, so that a limit per event does not bound
	// the report.
	maxBytes int
	body     io.ReadCloser
	events   *eventReader
	load     Load
}

// LoadStream opens a stream of load reports. It uses a connection of its own: a pooled
// connection to a machine that is gone looks healthy until a request on it times out.
func (c *HTTPClient) LoadStream(ctx context.Context, at netip.AddrPort, interval time.Duration) (LoadStream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &httpLoadStream{
		ctx:         ctx,
		cancel:      cancel,
		readTimeout: max(maxMissedIntervals*interval, c.options.ReadIdleTimeout/maxMissedIntervals),
		maxBytes:    int(c.options.MaxResponseBytes),
	}
	accept := c.options.ResponseTimeout
	s.readTimer = time.AfterFunc(accept, func() { cancel(&ReadTimeoutError{After: accept}) })
	to := endpointURL(at, PathLoad)
	to.RawQuery = url.Values{"interval_ms": {strconv.FormatInt(max(interval.Milliseconds(), 1), 10)}}.Encode()
	req := newRequest(ctx, http.MethodGet, to, nil)
	req.Header.Set(headerAccept, typeEventStream+", "+typeJSON)
	resp, err := c.unpooled.RoundTrip(req)
	if err != nil {
		s.Close()
		return nil, contextCause(ctx, err)
	}
	s.body = resp.Body
	if resp.StatusCode == http.StatusOK && hasContentType(resp.Header, typeEventStream) {
		s.readTimer.Stop()
		s.readTimer = time.AfterFunc(s.readTimeout, func() { cancel(&ReadTimeoutError{After: s.readTimeout}) })
		s.events = newEventReader(resp.Body, s.maxBytes, func() {})
		return s, nil
	}
	defer s.Close()
	return nil, c.readSingleReport(ctx, resp)
}

// readSingleReport reads the response of an endpoint that does not stream.
func (c *HTTPClient) readSingleReport(ctx context.Context, resp *http.Response) error {
	if resp.StatusCode != http.StatusOK || !hasContentType(resp.Header, typeJSON) {
		return &UnexpectedStatusError{Status: resp.StatusCode, ContentType: resp.Header.Get(headerContentType)}
	}
	content, err := readLimited(resp.Body, c.options.MaxResponseBytes, "response")
	if err != nil {
		return contextCause(ctx, err)
	}
	single := &LoadStreamUnsupportedError{}
	if err := json.Unmarshal(content, &single.Load); err != nil {
		return &ProtocolError{What: "response", Cause: err}
	}
	return single
}

// Next waits for the next event. Comment lines do not reset the read timeout: an endpoint
// that sends no report has no current one.
func (s *httpLoadStream) Next() (Load, error) {
	s.readTimer.Reset(s.readTimeout)
	defer s.readTimer.Stop()
	_, data, err := s.events.next()
	if err != nil {
		return Load{}, contextCause(s.ctx, err)
	}
	var delta LoadDelta
	if err := json.Unmarshal(data, &delta); err != nil {
		return Load{}, &ProtocolError{What: "load event", Cause: err}
	}
	s.load = delta.Apply(s.load)
	if len(delta.Started) > 0 && attemptIDBytes(s.load) > s.maxBytes {
		return Load{}, &TooLargeError{What: "list of attempts", Limit: int64(s.maxBytes)}
	}
	return s.load, nil
}

func attemptIDBytes(load Load) (sum int) {
	for _, id := range load.Attempts {
		sum += len(id)
	}
	return sum
}

// Close ends the stream and closes its connection.
func (s *httpLoadStream) Close() {
	s.readTimer.Stop()
	s.cancel(nil)
	if s.body != nil {
		_ = s.body.Close()
	}
	if s.events != nil {
		s.events.release()
	}
}
