package feed

import (
	"context"
	"errors"
	"time"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/tables"
)

// pollsPerTry is how many load reports are asked for one by one before an
// endpoint that does not stream is tried again: it may have been replaced by
// one that does.
const pollsPerTry = 240

// loadReader reads the load reports of one endpoint: by a stream if the
// endpoint has one, and by single questions otherwise.
type loadReader struct {
	*feed
	streamer engine.LoadStreamer
	boot     tables.BootID
	failures int
	// polls counts the single questions until a stream is tried again.
	polls int
}

// readLoads delivers load reports until the context ends.
func (f *feed) readLoads(ctx context.Context) {
	r := &loadReader{feed: f}
	r.streamer, _ = f.Reporter.(engine.LoadStreamer)
	wait := time.Duration(f.Random() * float64(f.LoadInterval))
	for f.Sleep(ctx, wait) == nil {
		wait = r.read(ctx)
	}
}

// read reads until it must wait, and returns for how long.
func (r *loadReader) read(ctx context.Context) time.Duration {
	if r.streamer != nil && r.polls == 0 {
		return r.stream(ctx)
	}
	r.polls = max(r.polls-1, 0)
	return r.take(r.Reporter.Load(ctx, r.at))
}

// stream reads a stream to its end, which is a failure always. An endpoint that
// answers with one report, or refuses a stream, is asked one by one. Between two
// reports it rests for half a period, so that an endpoint that sends faster
// than it was asked to is held back by its connection.
func (r *loadReader) stream(ctx context.Context) time.Duration {
	s, err := r.streamer.LoadStream(ctx, r.at, r.LoadInterval)
	var single *engine.LoadStreamUnsupportedError
	if errors.As(err, &single) {
		r.polls = pollsPerTry
		return r.take(single.Load, nil)
	}
	var refused *engine.UnexpectedStatusError
	if errors.As(err, &refused) {
		r.polls = pollsPerTry
		return r.take(r.Reporter.Load(ctx, r.at))
	}
	if err != nil {
		return r.take(engine.Load{}, err)
	}
	defer s.Close()
	for first := true; ; first = false {
		load, err := s.Next()
		if first && isSilent(err) {
			return r.askInstead(ctx, err)
		}
		wait := r.take(load, err)
		if err != nil || load.Boot == "" || r.Sleep(ctx, r.LoadInterval/2) != nil {
			return wait
		}
	}
}

func isSilent(err error) bool {
	var silent *engine.ReadTimeoutError
	return errors.As(err, &silent)
}

// askInstead asks one by one after a stream that opened and gave nothing. A
// proxy between may hold streams back until they end: the endpoint works, and
// would look silent for good. One that hangs does not answer the question
// either, and its stream is opened again.
func (r *loadReader) askInstead(ctx context.Context, silent error) time.Duration {
	load, err := r.Reporter.Load(ctx, r.at)
	if err != nil || load.Boot == "" {
		return r.take(engine.Load{}, silent)
	}
	r.polls = pollsPerTry
	return r.take(load, nil)
}

// take delivers a report or notes a failure, and returns the wait after it.
func (r *loadReader) take(load engine.Load, err error) time.Duration {
	if err != nil || load.Boot == "" {
		r.failures++
		r.noteSilence(r.failures, err)
		return r.backOff(r.LoadInterval, r.failures)
	}
	r.noteAnswer(r.failures)
	r.failures = 0
	if r.boot != "" && load.Boot != r.boot {
		events.EndpointRebooted.Log(r.Log, r.named())
	}
	r.boot = load.Boot
	r.Deliver(r.report(load))
	return r.spread(r.LoadInterval)
}
