package exchange

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/carawaystile/carawaystile/engine"
)

// maxEvent bounds one event in bytes.
const maxEvent = 1 << 20

// Event is one event of a stream, byte for byte with its closing empty line.
type Event struct {
	Raw []byte
	// ID is the event's number; HasID is false for one without.
	ID    int64
	HasID bool
}

// EventReader reads whole events. What was cut off in the middle is never returned:
// a caller that had got a part of an event could not tell it from a whole one
// when the stream goes on elsewhere.
type EventReader struct {
	reader *bufio.Reader
}

// NewEventReader reads the events of an answer.
func NewEventReader(from io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(from, readBuffer)}
}

var fieldID = []byte("id:")

// Next returns the next event, io.EOF after the last one, and
// io.ErrUnexpectedEOF if the stream ends inside an event. The event is the
// caller's.
func (e *EventReader) Next() (Event, error) {
	var event Event
	start := 0 // of the line that is being read
	for {
		piece, err := e.reader.ReadSlice('\n')
		event.Raw = append(event.Raw, piece...)
		if len(event.Raw) > maxEvent {
			return Event{}, &engine.TooLargeError{What: "event", Limit: maxEvent}
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
