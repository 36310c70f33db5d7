package trail

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/tables"
)

// codeMeanings explains the error codes of rejected and failed requests.
var codeMeanings = map[tables.ErrorCode]string{
	tables.CodeUnknownRoute:    "no route has this host and path",
	tables.CodeUnauthorised:    "its key is not known",
	tables.CodeTooLarge:        "it is larger than the limits or than any endpoint allows",
	tables.CodeMalformed:       "its body was not proper, or not sent whole",
	tables.CodeBodyTimeout:     "its body did not arrive within its time",
	tables.CodeQuarantined:     "it is suspected of crashing endpoints",
	tables.CodeQuarantinedPart: "a part of its prompt is convicted of crashing endpoints",
	tables.CodeOverloaded:      "every endpoint had as much as it can bear",
	tables.CodeRetryBudget:     "the budget for second sends was used up",
	tables.CodeNoEndpoint:      "no endpoint could be used",
	tables.CodeDraining:        "the instance was leaving",
	tables.CodeNotReady:        "the instance had just started and knew no configuration or no endpoints",
	tables.CodeStreamUnknown:   "it resumes a stream, and no instance that answered knows which software version began it",
	tables.CodeEndpointFailed:  "the last endpoint that it may be sent to failed",
	tables.CodeStreamBroken:    "its stream broke and no endpoint could go on with it",
	tables.CodeTimeout:         "its time was up",
	tables.CodeOutcomeUnknown:  "an endpoint failed that may have run it, and it must not run again",
}

// meaningOf explains an error code; empty for an unknown one.
func meaningOf(code string) string {
	n, err := strconv.ParseUint(code, 10, 16)
	if err != nil {
		return ""
	}
	return codeMeanings[tables.ErrorCode(n)]
}

// Write prints the request's lines in order, then the lines of its context.
func (t *Trace) Write(w io.Writer) {
	fmt.Fprintf(w, "request %s: %s\n", t.Request, t.outcome())
	for i := range t.Lines {
		t.writeLine(w, &t.Lines[i])
	}
	if len(t.Context) > 0 {
		fmt.Fprintf(w, "around it, at its endpoints and in its processes:\n")
	}
	for i := range t.Context {
		t.writeLine(w, &t.Context[i])
	}
	fmt.Fprintf(w, "logs read of: %s\n", strings.Join(t.Instances, ", "))
	if len(t.Missing) > 0 {
		fmt.Fprintf(w, "logs missing of the control instances at: %s\n", strings.Join(t.Missing, ", "))
	}
	if t.DropReports > 0 {
		fmt.Fprintf(w, "processes left lines out of their logs near this time: see event %d\n", events.LogLinesDropped.Number)
	}
}

// outcome describes how the request ended.
func (t *Trace) outcome() string {
	for _, line := range slices.Backward(t.Lines) {
		switch line.Event {
		case events.RequestAnswered.Number:
			by := line.Field("endpoint")
			if via := line.Field("via"); via != "" {
				by += " through " + via
			}
			return "answered with " + line.Field("status") + " by " + by + " after " + line.Field("took") + line.waitForCapacity() + t.continuation()
		case events.RequestFailed.Number:
			text := "answered with " + line.Field("status") + " after " + line.Field("took") + line.waitForCapacity()
			if meaning := meaningOf(line.Field("code")); meaning != "" {
				text += ": " + meaning
			}
			if line.Field("outcome") == "not_run" {
				return text + "; it has not run"
			}
			return text + "; whether it has run is not known"
		case events.StreamAborted.Number:
			return "its stream was broken off after event " + line.Field("last_event") + t.continuation()
		case events.ClientDisconnected.Number:
			return "its caller left after " + line.Field("took")
		case events.RequestCut.Number:
			return "it was cut after " + line.Field("took") + " as its instance stopped"
		case events.RequestLost.Number:
			return "it ended without an answer after " + line.Field("took")
		}
	}
	return "its end is in none of the logs"
}

// waitForCapacity describes how the request waited for capacity; empty if it did not.
func (l *Line) waitForCapacity() string {
	waited, predicted := l.Field("queue_wait"), l.Field("predicted_wait")
	switch {
	case l.Field("wait_ended") == "arrival":
		return ", rejected on arrival since its wait for capacity would have been " + roundDuration(predicted)
	case waited == "" || l.Duration("queue_wait") == 0:
		return ""
	case l.Duration("predicted_wait") == 0:
		return ", of which it waited " + roundDuration(waited) + " for capacity"
	}
	return ", of which it waited " + roundDuration(waited) + " for capacity (predicted: " + roundDuration(predicted) + ")"
}

// leadingFields are the fields that are printed first, in this order.
var leadingFields = []string{
	"endpoint", "via", "backup", "end", "status", "code", "outcome", "rule", "took", "placed", "queue_wait", "predicted_wait", "wait_ended", "first", "expected", "own", "others",
	"load_age", "doubt", "retry_after", "pushing_back", "draining", "endpoints", "revision", "control_heard", "weights",
}

func (t *Trace) writeLine(w io.Writer, line *Line) {
	fmt.Fprintf(w, "  %s %-10s %d %s\n", line.At.Format("15:04:05.000"), line.Instance, line.Event, line.Text)
	var parts []string
	tell := func(name string) {
		if text := line.Field(name); text != "" && name != "request" {
			parts = append(parts, name+"="+roundDuration(text))
		}
	}
	for _, name := range leadingFields {
		tell(name)
	}
	rest := make([]string, 0, len(line.Fields))
	for name := range line.Fields {
		if !slices.Contains(leadingFields, name) {
			rest = append(rest, name)
		}
	}
	slices.Sort(rest)
	for _, name := range rest {
		tell(name)
	}
	if len(parts) > 0 {
		fmt.Fprintf(w, "      %s\n", strings.Join(parts, "  "))
	}
}

// roundDuration rounds a duration for display; it returns other texts unchanged.
func roundDuration(text string) string {
	d, err := time.ParseDuration(text)
	if err != nil || !strings.HasSuffix(text, "s") {
		return text
	}
	if d >= time.Second {
		return d.Round(time.Millisecond).String()
	}
	return d.Round(10 * time.Microsecond).String()
}
