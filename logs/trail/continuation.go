package trail

import (
	"slices"

	"github.com/carawaystile/carawaystile/events"
)

// continuation says whether a broken stream continued at its backup endpoint, as a part of the
// sentence about its end; empty for a stream that had none or did not break.
func (t *Trace) continuation() string {
	for _, line := range slices.Backward(t.Lines) {
		switch line.Event {
		case events.StreamContinued.Number:
			return "; " + line.Field("endpoint") + " ended after event " + line.Field("last_event") + " and " + line.Field("backup") + " continued"
		case events.StreamNotContinued.Number:
			return "; its backup " + line.Field("backup") + " did not continue it: " + line.Field("reason")
		}
	}
	return ""
}
