// Package events is the catalogue of log events. Every line the system logs
// names one of them; its number is stable and explained in docs/EVENTS.md.
package events

import (
	"sort"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Number is the stable number of a log event. Numbers are never reused.
// 1000s belong to the entry, 2000s to decisions, 3000s to the control state,
// 4000s to membership, 5000s to endpoints and 6000s to the daemon.
type Number uint16

// Event is one entry of the catalogue.
type Event struct {
	Number Number
	Level  zapcore.Level
	// Text is one short sentence.
	Text string
}

var catalogue []Event

// define adds an event to the catalogue; it is called by package variables only.
func define(n Number, level zapcore.Level, text string) Event {
	e := Event{Number: n, Level: level, Text: text}
	catalogue = append(catalogue, e)
	return e
}

// Catalogue returns all events by number.
func Catalogue() []Event {
	all := append([]Event(nil), catalogue...)
	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })
	return all
}

// Log writes the event with its fields. Fields never hold a prompt, a token of
// an answer or a credential.
func (e Event) Log(log *zap.Logger, fields ...zap.Field) {
	if entry := log.Check(e.Level, e.Text); entry != nil {
		entry.Write(append(fields, zap.Uint16("event", uint16(e.Number)))...)
	}
}
