package feed

import (
	"context"
	"errors"
	"time"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/tables"
)

// pollsPerStreamRetry is the number of polls after which a stream is tried again at an
// endpoint that did not support it: a newer process that does may have replaced it.
const pollsPerStreamRetry = 240

// loadPoller reads the load reports of one endpoint, by a stream if the endpoint supports
// it and by polling otherwise.
type loadPoller struct {
	*poller
	streamer engine.LoadStreamer
	// boot is the boot identity of the last report, failures the number of consecutive
	// failures.
	boot     tables.BootID
	failures int
	// pollsLeft is the number of polls until a stream is tried again.
	pollsLeft int
}

// pollLoads delivers load reports until the context ends.
func (p *poller) pollLoads(ctx context.Context) {
	r := &loadPoller{poller: p}
	r.streamer, _ = p.Reporter.(engine.LoadStreamer)
	wait := time.Duration(p.Random() * float64(p.LoadInterval))
	for p.Sleep(ctx, wait) == nil {
		wait = r.next(ctx)
	}
}

// next reads one report or a whole stream of them, and returns the wait before the next
// call.
func (p *loadPoller) next(ctx context.Context) time.Duration {
	if p.streamer != nil && p.pollsLeft == 0 {
		return p.readStream(ctx)
	}
	p.pollsLeft = max(p.pollsLeft-1, 0)
	return p.handleReport(p.Reporter.Load(ctx, p.at))
}

// readStream reads a stream until it breaks; it counts every break as a failure. It falls
// back to polling if the endpoint responds with a single report or refuses the stream. It
// sleeps for half an interval between two reports, so that TCP flow control slows down an
// endpoint that sends faster than requested.
func (p *loadPoller) readStream(ctx context.Context) time.Duration {
	s, err := p.streamer.LoadStream(ctx, p.at, p.LoadInterval)
	var single *engine.LoadStreamUnsupportedError
	if errors.As(err, &single) {
		p.pollsLeft = pollsPerStreamRetry
		return p.handleReport(single.Load, nil)
	}
	var refused *engine.UnexpectedStatusError
	if errors.As(err, &refused) {
		p.pollsLeft = pollsPerStreamRetry
		return p.handleReport(p.Reporter.Load(ctx, p.at))
	}
	if err != nil {
		return p.handleReport(engine.Load{}, err)
	}
	defer s.Close()
	for first := true; ; first = false {
		load, err := s.Next()
		if first && isReadTimeout(err) {
			return p.pollInstead(ctx, err)
		}
		wait := p.handleReport(load, err)
		if err != nil || load.Boot == "" || p.Sleep(ctx, p.LoadInterval/2) != nil {
			return wait
		}
	}
}

// isReadTimeout reports whether the endpoint sent nothing until the read timeout.
func isReadTimeout(err error) bool {
	var timeout *engine.ReadTimeoutError
	return errors.As(err, &timeout)
}

// pollInstead falls back to polling after a stream that opened and sent nothing. A proxy
// in between may buffer streams until they end: the endpoint works and would look
// unresponsive for ever. An endpoint that hangs does not respond to the poll either, and
// its stream is opened again.
func (p *loadPoller) pollInstead(ctx context.Context, timeoutErr error) time.Duration {
	load, err := p.Reporter.Load(ctx, p.at)
	if err != nil || load.Boot == "" {
		return p.handleReport(engine.Load{}, timeoutErr)
	}
	p.pollsLeft = pollsPerStreamRetry
	return p.handleReport(load, nil)
}

// handleReport delivers a report or records a failure, and returns the wait after it.
func (p *loadPoller) handleReport(load engine.Load, err error) time.Duration {
	if err != nil || load.Boot == "" {
		p.failures++
		p.recordFailure(p.failures, err)
		return p.backoff(p.LoadInterval, p.failures)
	}
	p.recordSuccess(p.failures)
	p.failures = 0
	if p.boot != "" && load.Boot != p.boot {
		events.EndpointRebooted.Log(p.Log, p.endpointField())
	}
	p.boot = load.Boot
	p.Deliver(p.loadReport(load))
	return p.withJitter(p.LoadInterval)
}
