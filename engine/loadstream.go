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

// silentIntervals is after how many intervals without an event a load stream
// has failed. The time is at least the same part of SilenceTimeout, so that one
// late process does not end streams of short intervals.
const silentIntervals = 3

// LoadStream gives an endpoint's load reports as they come. Its methods must
// not be called concurrently.
type LoadStream interface {
	// Next waits for the next report. After an error the stream is over.
	Next() (Load, error)
	Close()
}

// LoadStreamer opens load streams. An endpoint that only answers single
// questions gives *NoLoadStream.
type LoadStreamer interface {
	LoadStream(ctx context.Context, at netip.AddrPort, interval time.Duration) (LoadStream, error)
}

var _ LoadStreamer = (*HTTPClient)(nil)

// LoadStreamUnsupportedError means that an endpoint answered with a single report.
type LoadStreamUnsupportedError struct{ Load Load }

// Error says so.
func (e *LoadStreamUnsupportedError) Error() string { return "endpoint does not stream load reports" }

// WantsLoadStream reports whether a question for load asks for a stream, and
// the interval between its events. An interval that is no number or below a
// millisecond is a millisecond.
func WantsLoadStream(r *http.Request) (time.Duration, bool) {
	if !strings.Contains(r.Header.Get(headerAccept), typeEvents) {
		return 0, false
	}
	millis, _ := strconv.ParseInt(r.URL.Query().Get("interval_ms"), 10, 32)
	return max(time.Duration(millis), 1) * time.Millisecond, true
}

// httpLoadStream is a LoadStream over server-sent events.
type httpLoadStream struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	// silence ends the stream. It runs only while Next waits.
	silence  *time.Timer
	patience time.Duration
	// limit bounds an event, and the bytes of the attempts of one report:
	// changes add up over a stream, so that no event's limit bounds them.
	limit  int
	body   io.ReadCloser
	events *eventReader
	load   Load
}

// LoadStream opens a stream of load reports. It has a connection of its own: a
// pooled connection to a machine that is gone looks healthy until a question
// on it times out.
func (c *HTTPClient) LoadStream(ctx context.Context, at netip.AddrPort, interval time.Duration) (LoadStream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &httpLoadStream{
		ctx:      ctx,
		cancel:   cancel,
		patience: max(silentIntervals*interval, c.options.ReadIdleTimeout/silentIntervals),
		limit:    int(c.options.MaxResponseBytes),
	}
	accept := c.options.ResponseTimeout
	s.silence = time.AfterFunc(accept, func() { cancel(&ReadTimeoutError{After: accept}) })
	to := endpointURL(at, PathLoad)
	to.RawQuery = url.Values{"interval_ms": {strconv.FormatInt(max(interval.Milliseconds(), 1), 10)}}.Encode()
	req := newRequest(ctx, http.MethodGet, to, nil)
	req.Header.Set(headerAccept, typeEvents+", "+typeJSON)
	resp, err := c.single.RoundTrip(req)
	if err != nil {
		s.Close()
		return nil, causeOf(ctx, err)
	}
	s.body = resp.Body
	if resp.StatusCode == http.StatusOK && isType(resp.Header, typeEvents) {
		s.silence.Stop()
		s.silence = time.AfterFunc(s.patience, func() { cancel(&ReadTimeoutError{After: s.patience}) })
		s.events = newEventReader(resp.Body, s.limit, func() {})
		return s, nil
	}
	defer s.Close()
	return nil, c.singleReport(ctx, resp)
}

// singleReport reads the answer of an endpoint that does not stream.
func (c *HTTPClient) singleReport(ctx context.Context, resp *http.Response) error {
	if resp.StatusCode != http.StatusOK || !isType(resp.Header, typeJSON) {
		return &UnexpectedStatusError{Status: resp.StatusCode, ContentType: resp.Header.Get(headerType)}
	}
	content, err := readBounded(resp.Body, c.options.MaxResponseBytes, "answer")
	if err != nil {
		return causeOf(ctx, err)
	}
	single := &LoadStreamUnsupportedError{}
	if err := json.Unmarshal(content, &single.Load); err != nil {
		return &ProtocolError{What: "answer", Cause: err}
	}
	return single
}

// Next waits for the next event. Comment lines do not count as life: an
// endpoint that sends no report has no current one.
func (s *httpLoadStream) Next() (Load, error) {
	s.silence.Reset(s.patience)
	defer s.silence.Stop()
	_, data, err := s.events.next()
	if err != nil {
		return Load{}, causeOf(s.ctx, err)
	}
	var delta LoadDelta
	if err := json.Unmarshal(data, &delta); err != nil {
		return Load{}, &ProtocolError{What: "load event", Cause: err}
	}
	s.load = delta.Apply(s.load)
	if len(delta.Started) > 0 && attemptBytes(s.load) > s.limit {
		return Load{}, &TooLargeError{What: "list of attempts", Limit: int64(s.limit)}
	}
	return s.load, nil
}

func attemptBytes(load Load) (sum int) {
	for _, id := range load.Attempts {
		sum += len(id)
	}
	return sum
}

// Close ends the stream and its connection.
func (s *httpLoadStream) Close() {
	s.silence.Stop()
	s.cancel(nil)
	if s.body != nil {
		_ = s.body.Close()
	}
	if s.events != nil {
		s.events.release()
	}
}
