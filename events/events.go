// Package events is the catalogue of structured log events. Every log line of the system
// has the stable number of an event, which docs/EVENTS.md explains.
package events

import (
	"sort"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Number is the stable number of a log event; numbers are never reused. The thousands stand
// for the part of the system: 1000s for the entry, 2000s for decisions, 3000s for the control
// state, 4000s for membership, 5000s for endpoints and 6000s for the daemon.
type Number uint16

// Event is one entry of the catalogue.
type Event struct {
	Number Number
	Level  zapcore.Level
	// Text is the message of the log line, one or two short sentences.
	Text string
}

var catalogue []Event

// define adds an event to the catalogue. Only package-level variables call it.
func define(n Number, level zapcore.Level, text string) Event {
	e := Event{Number: n, Level: level, Text: text}
	catalogue = append(catalogue, e)
	return e
}

// Catalogue returns all events, sorted by number.
func Catalogue() []Event {
	all := append([]Event(nil), catalogue...)
	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })
	return all
}

// Log writes the event with its fields. Fields must never contain a prompt, a token of a
// response or a credential.
func (e Event) Log(log *zap.Logger, fields ...zap.Field) {
	if entry := log.Check(e.Level, e.Text); entry != nil {
		entry.Write(append(fields, zap.Uint16("event", uint16(e.Number)))...)
	}
}
