package exchange

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/carawaystile/carawaystile/engine"
)

// maxEventBytes limits the size of one event.
const maxEventBytes = 1 << 20

// Event is one server-sent event, byte for byte and with its closing empty line.
type Event struct {
	Raw []byte
	// ID is the numeric event ID; HasID is false for an event without one.
	ID    int64
	HasID bool
}

// EventReader is a parser of server-sent events that returns complete events only. A
// client that received a part of an event could not tell it from a complete one when the
// stream is resumed at another endpoint.
type EventReader struct {
	reader *bufio.Reader
}

// NewEventReader returns a reader of the events of a response body.
func NewEventReader(from io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(from, readBufferBytes)}
}

var fieldID = []byte("id:")

// Next returns the next event, io.EOF after the last one, and io.ErrUnexpectedEOF if the
// stream ends inside an event. The event is owned by the caller.
func (e *EventReader) Next() (Event, error) {
	var event Event
	start := 0 // of the current line in event.Raw
	for {
		piece, err := e.reader.ReadSlice('\n')
		event.Raw = append(event.Raw, piece...)
		if len(event.Raw) > maxEventBytes {
			return Event{}, &engine.TooLargeError{What: "event", Limit: maxEventBytes}
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err == io.EOF && len(event.Raw) > 0 {
			return Event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		text := bytes.TrimRight(event.Raw[start:], "\r\n")
		start = len(event.Raw)
		if len(text) == 0 {
			return event, nil
		}
		if number, found := bytes.CutPrefix(text, fieldID); found {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(number)), 10, 64)
			event.ID, event.HasID = id, err == nil
		}
	}
}
