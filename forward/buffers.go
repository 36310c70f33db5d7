package forward

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/bufferbudget"
	"github.com/carawaystile/carawaystile/engine/exchange"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/internal/readlimit"
	"github.com/carawaystile/carawaystile/metrics"
)

const (
	// evictionInterval is the time between two searches for stalled readers while reservations
	// wait. It is a tenth of the time after which a reader counts as stalled.
	evictionInterval = 100 * time.Millisecond
	// maxPieceBytes is the size of the pieces in which a long response is written, each with a
	// write deadline of its own: a slow client would exceed that of a larger piece. It is the size of
	// the write buffer of net/http, below which smaller pieces have no effect.
	maxPieceBytes = 4 << 10
	// progressBytes is what a client must have accepted of a response or event to count as a
	// reader that makes progress, and is not evicted then.
	progressBytes = 16 << 10
)

// buffers holds the server's budget of bytes for clients and endpoints that read slowly.
type buffers struct {
	budget *bufferbudget.Budget
	// checkArmed is set while a search for stalled readers is scheduled.
	checkArmed atomic.Bool
	// waitingStreams counts the streams that are not read because of their queue or the budget.
	waitingStreams atomic.Int64
	// writeTimeout bounds how long a client may accept no data.
	writeTimeout time.Duration
}

// openBuffer returns a holder of bytes for the request's organisation. The bytes are given back
// at the end of the request if they were not before.
func (c *clientRequest) openBuffer(kind bufferbudget.Kind) *bufferbudget.Holder {
	holder := c.server.buffers.budget.Open(string(c.organisationID()), kind)
	c.holders = append(c.holders, holder)
	return holder
}

// releaseBuffers gives back all bytes that the request holds. The client is not disconnected
// any more after it, since its connection may carry the next request by then.
func (c *clientRequest) releaseBuffers() {
	c.disconnectMu.Lock()
	c.released = true
	c.disconnectMu.Unlock()
	for _, holder := range c.holders {
		holder.Close()
	}
}

// disconnect ends the writes to an evicted client. Any goroutine may call it.
func (c *clientRequest) disconnect() {
	c.disconnectMu.Lock()
	defer c.disconnectMu.Unlock()
	if c.released {
		return
	}
	c.evicted.Store(true)
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Unix(1, 0))
}

// evictedError means that a client was disconnected to make room in the budget.
type evictedError struct{}

func (*evictedError) Error() string { return "evicted: the buffer budget is used up" }

// extendWriteDeadline sets the time until which the client must accept the next piece.
func (c *clientRequest) extendWriteDeadline(control *http.ResponseController) error {
	_ = control.SetWriteDeadline(time.Now().Add(c.server.buffers.writeTimeout))
	// disconnect sets the mark before the deadline, so the mark is seen here if this call has
	// replaced that deadline.
	if c.evicted.Load() {
		return &evictedError{}
	}
	return nil
}

// writePieces writes data to a client that may read slowly.
func (c *clientRequest) writePieces(holder *bufferbudget.Holder, data ...[]byte) error {
	control := http.NewResponseController(c.w)
	accepted, length := 0, exchange.Body(data).Len()
	for _, buffer := range data {
		for piece := range slices.Chunk(buffer, maxPieceBytes) {
			if err := c.extendWriteDeadline(control); err != nil {
				return err
			}
			if _, err := c.w.Write(piece); err != nil {
				return err
			}
			before := accepted
			accepted += len(piece)
			if before/progressBytes < accepted/progressBytes || accepted == length {
				holder.Progress(c.now())
			}
		}
	}
	return nil
}

// reserveNow reserves bytes and reports whether they fit. If they do not, it makes room for later
// reservations.
func (s *Server) reserveNow(holder *bufferbudget.Holder, bytes int64) bool {
	if bytes == 0 || holder.Reserve(bytes) {
		return true
	}
	s.evict(holder.Kind(), bytes)
	return false
}

// awaitRoom reserves bytes as soon as they fit. It returns the context's error if that ends
// first.
func (s *Server) awaitRoom(ctx context.Context, holder *bufferbudget.Holder, bytes int64) error {
	waiter := holder.Wait(bytes)
	s.armEviction()
	select {
	case <-waiter.Granted():
		return nil
	case <-ctx.Done():
		waiter.Cancel()
		return ctx.Err()
	}
}

// readBuffered reads a whole response and reserves its bytes. All attempts of a request use one
// holder: a retry that waited for the bytes of the fallback response would wait for its own
// request.
func (a *attempt) readBuffered(response *exchange.Response) (exchange.Body, error) {
	c := a.request
	if c.responseHolder == nil {
		c.responseHolder = c.openBuffer(bufferbudget.Response)
	}
	meter := &bodyMeter{attempt: a, holder: c.responseHolder}
	body, err := response.ReadAllMetered(meter)
	if err != nil {
		c.responseHolder.Release(meter.reserved)
	}
	return body, err
}

// bodyMeter reserves the bytes of a response that is buffered. While they do not fit, the endpoint is not read, and the
// attempt's response timer is stopped. It starts anew after that and with each read: an endpoint that stops in the
// middle of a response would hold the request until its deadline otherwise.
type bodyMeter struct {
	attempt  *attempt
	holder   *bufferbudget.Holder
	reserved int64
}

// Reserve implements exchange.Meter.
func (m *bodyMeter) Reserve(bytes int) error {
	a := m.attempt
	if !m.holder.Reserve(int64(bytes)) {
		a.stopResponseTimer()
		if err := a.request.server.awaitRoom(a.ctx, m.holder, int64(bytes)); err != nil {
			return err
		}
		a.armResponseTimer(a.firstResponseTimeout())
	}
	m.reserved += int64(bytes)
	return nil
}

// Release implements exchange.Meter.
func (m *bodyMeter) Release(bytes int) {
	m.reserved -= int64(bytes)
	m.holder.Release(int64(bytes))
}

// Progress implements exchange.Meter.
func (m *bodyMeter) Progress() {
	m.attempt.stopResponseTimer()
	m.attempt.armResponseTimer(m.attempt.firstResponseTimeout())
}

// reserveHeader reserves bytes of a response header that is being read. It does not wait: an endpoint that stops in
// headers would hold up the others.
func (a *attempt) reserveHeader(bytes int64) error {
	if a.headerHolder == nil {
		a.headerHolder = a.request.openBuffer(bufferbudget.ResponseHeader)
	}
	if a.headerHolder.Reserve(bytes) {
		return nil
	}
	return &readlimit.TooLargeError{What: "response headers together", Limit: a.request.server.buffers.budget.HeaderLimit()}
}

// releaseHeader gives back the bytes of the response header of an attempt that has failed.
func (a *attempt) releaseHeader() {
	if a.headerHolder != nil {
		a.headerHolder.Close()
	}
}

// dropFallback gives back the bytes of the fallback response, which a later response replaces.
func (c *clientRequest) dropFallback() {
	if c.fallbackResponse != nil {
		c.responseHolder.Release(int64(c.fallbackResponse.body.Len()))
		c.fallbackResponse = nil
	}
}

// armEviction searches for stalled readers for as long as reservations wait.
func (s *Server) armEviction() {
	if !s.buffers.checkArmed.CompareAndSwap(false, true) {
		return
	}
	if bytes := s.buffers.budget.FirstWaiting(); bytes > 0 {
		s.evict(bufferbudget.Stream, bytes)
	}
	time.AfterFunc(evictionInterval, func() {
		s.buffers.checkArmed.Store(false)
		if s.buffers.budget.FirstWaiting() > 0 {
			s.armEviction()
		}
	})
}

// evict disconnects stalled readers so that so many bytes of a kind fit into the budget.
func (s *Server) evict(kind bufferbudget.Kind, bytes int64) {
	for _, victim := range s.buffers.budget.Evict(s.options.Now(), kind, bytes) {
		events.ReaderEvicted.Log(s.log, zap.String("organisation", victim.Account), zap.Stringer("kind", victim.Kind),
			zap.Int64("bytes", victim.Bytes), zap.Duration("stalled", victim.Stalled), zap.Int64("budget", s.buffers.budget.Limit()))
		s.metrics.countEvicted(victim.Kind)
		victim.Disconnect()
	}
}

// ReserveRelay reserves the memory of a relayed connection, in bytes. It returns false if the
// budget is used up. The caller must call release at the end of the connection.
func (s *Server) ReserveRelay(bytes int64) (release func(), ok bool) {
	holder := s.buffers.budget.Open("", bufferbudget.Relay)
	if !s.reserveNow(holder, bytes) {
		holder.Close()
		return nil, false
	}
	return holder.Close, true
}

// countEvicted counts an evicted reader.
func (m *requestMetrics) countEvicted(kind bufferbudget.Kind) {
	if m == nil {
		return
	}
	m.registry.Counter("carawaystile_readers_evicted_total", "Callers that were disconnected because they did not read and the budget for buffers was used up.",
		metrics.Label{Name: "kind", Value: kind.String()}).Inc(1)
}

// BufferUse returns how many bytes the buffers hold, and their budget.
func (s *Server) BufferUse() (used, limit int64) {
	return s.buffers.budget.Used(), s.buffers.budget.Limit()
}

// registerBufferGauges registers gauges of the bytes that are held, by kind, of the streams in
// backpressure, and of the unanswered request bodies, by endpoint.
func (s *Server) registerBufferGauges(registry *metrics.Registry) {
	if registry == nil {
		return
	}
	limit := registry.Gauge("carawaystile_buffer_budget_bytes", "Bytes that request bodies, responses, streams and relayed connections may occupy together.")
	waiting := registry.Gauge("carawaystile_streams_backpressured", "Streams that are not read from the endpoint because the caller reads slowly.")
	limit.Update(float64(s.buffers.budget.Limit()))
	registry.BeforeWrite(func() {
		for _, kind := range bufferbudget.Kinds() {
			if kind == bufferbudget.Header {
				continue // the listeners report these
			}
			registry.Gauge("carawaystile_buffered_bytes", "Bytes held for callers and endpoints, by what they are.",
				metrics.Label{Name: "kind", Value: kind.String()}).Update(float64(s.buffers.budget.UsedBy(kind)))
		}
		waiting.Update(float64(s.buffers.waitingStreams.Load()))
		s.unanswered.report(registry, s.Endpoints())
	})
}
