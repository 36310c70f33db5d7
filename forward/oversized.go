package forward

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/internal/readlimit"
)

// largeResponseInterval is the shortest time between two log lines about responses that are too large.
const largeResponseInterval = time.Second

// reportTooLarge counts, and now and then logs, an attempt that failed because its endpoint sent more than a
// limit.
func (a *attempt) reportTooLarge(err error) {
	what := tooLargePart(err)
	if what == "" {
		return
	}
	s := a.request.server
	s.metrics.countTooLarge(a.request, what)
	if !s.largeResponses.allow(s.options.Now(), largeResponseInterval) {
		return
	}
	events.ResponseTooLarge.Log(s.log, append(a.logFields(), zap.String("what", what), zap.Error(err))...)
}

// tooLargePart returns the part of a response that exceeded its limit; empty for another error.
func tooLargePart(err error) string {
	var tooLarge *readlimit.TooLargeError
	var tooMany *readlimit.TooManyError
	switch {
	case errors.As(err, &tooLarge):
		return tooLarge.What
	case errors.As(err, &tooMany):
		return tooMany.What
	}
	return ""
}
