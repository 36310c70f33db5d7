package exchange

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/carawaystile/carawaystile/engine"
)

const (
	// maxEventBytes limits the size of one event.
	maxEventBytes = 1 << 20
	// maxKeepAliveBytes limits the keep-alives between two events, so that they bound the memory
	// and time that a stream takes without an event.
	maxKeepAliveBytes = 64 << 10
	// unmeteredEventBytes is the size up to which an event is read without its meter.
	unmeteredEventBytes = 64 << 10
)

// Event is one server-sent event, byte for byte and with its closing empty line.
type Event struct {
	Raw []byte
	// KeepAlive is set for lines that make no event: comments, empty lines, and fields without
	// data or an ID.
	KeepAlive bool
	// ID is the numeric event ID; HasID is false for an event without one.
	ID    int64
	HasID bool
}

// EventReader is a parser of server-sent events that returns complete events only. A
// client that received a part of an event could not tell it from a complete one when the
// stream is resumed at another endpoint.
type EventReader struct {
	reader *bufio.Reader
	// keepAliveBytes counts the keep-alives since the last event.
	keepAliveBytes int
	// Meter is called with the bytes of an event as they are read, once it has become large. It may
	// block, and the endpoint is not read meanwhile; its error ends the stream. It is nil for none.
	Meter func(bytes int) error
	// weightsField is the name, in lower case, of the field that tells a change of weights; empty for
	// none. weights is the expected version, and weightsChanged is set once another one was named.
	weightsField   []byte
	weights        uint64
	weightsChanged bool
}

// ExpectWeights sets the version of the weights that is to make all events. An event from which on another one
// does names it in a field, whose name is given in lower case.
func (e *EventReader) ExpectWeights(field string, version uint64) {
	e.weightsField, e.weights = []byte(field), version
}

// WeightsChanged reports whether the stream has named another version than that of ExpectWeights, or has
// ended inside a line that may name one.
func (e *EventReader) WeightsChanged() bool { return e.weightsChanged }

// NewEventReader returns a reader of the events of a response body.
func NewEventReader(from io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(from, readBufferBytes)}
}

var (
	fieldID   = []byte("id")
	fieldData = []byte("data")
)

// Next returns the next event, io.EOF after the last one, and io.ErrUnexpectedEOF if the
// stream ends inside an event. Keep-alives before an event are returned with it, or on their own
// if no more has arrived. The event is owned by the caller.
func (e *EventReader) Next() (Event, error) {
	event := Event{KeepAlive: true}
	whole := 0 // bytes of event.Raw that are complete keep-alives
	for {
		blank, err := e.readLine(&event)
		switch {
		case err == io.EOF && whole > 0 && whole == len(event.Raw):
			return event, nil
		case err == io.EOF && len(event.Raw) > 0:
			return Event{}, io.ErrUnexpectedEOF
		case err != nil:
			return Event{}, err
		case blank && !event.KeepAlive:
			e.keepAliveBytes = 0
			return event, nil
		case blank && e.reader.Buffered() == 0:
			e.keepAliveBytes += len(event.Raw)
			return event, nil
		case blank:
			whole = len(event.Raw)
		}
	}
}

// readLine appends the next line to the event, and reports whether it is empty.
func (e *EventReader) readLine(event *Event) (blank bool, err error) {
	hasID := false
	for start := len(event.Raw); ; {
		piece, err := e.reader.ReadSlice('\n')
		if len(event.Raw) == start {
			hasID = isField(piece, fieldID)
			event.KeepAlive = event.KeepAlive && !hasID && !isField(piece, fieldData)
		}
		event.Raw = append(event.Raw, piece...)
		if failed := e.checkSize(event, len(piece)); failed != nil {
			return false, failed
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		line := event.Raw[start:]
		e.observeWeights(line)
		if err != nil {
			return false, err
		}
		if hasID {
			event.setID(line)
		}
		return line[0] == '\n' || line[0] == '\r' && len(bytes.Trim(line, "\r\n")) == 0, nil
	}
}

// observeWeights sets weightsChanged if a line names another version of the weights. The last line of a
// stream that has broken may be cut.
func (e *EventReader) observeWeights(line []byte) {
	switch complete := bytes.HasSuffix(line, []byte{'\n'}); {
	case len(e.weightsField) == 0 || len(line) == 0:
	case !complete:
		e.weightsChanged = e.weightsChanged || isField(line, e.weightsField) || bytes.HasPrefix(e.weightsField, line)
	case isField(line, e.weightsField):
		_, number, _ := bytes.Cut(line, []byte{':'})
		version, err := strconv.ParseUint(string(bytes.TrimSpace(number)), 10, 64)
		e.weightsChanged = e.weightsChanged || err != nil || version != e.weights
	}
}

// setID sets the ID to the value of a line with the field.
func (e *Event) setID(line []byte) {
	_, number, _ := bytes.Cut(line, []byte{':'})
	id, err := strconv.ParseInt(string(bytes.TrimSpace(number)), 10, 64)
	e.ID, e.HasID = id, err == nil
}

// checkSize fails with *engine.TooLargeError if the event, or what came since the last one, is too
// large. It meters what was appended to a large event.
func (e *EventReader) checkSize(event *Event, appended int) error {
	switch {
	case event.KeepAlive && e.keepAliveBytes+len(event.Raw) > maxKeepAliveBytes:
		return &engine.TooLargeError{What: "lines between events", Limit: maxKeepAliveBytes}
	case len(event.Raw) > maxEventBytes:
		return &engine.TooLargeError{What: "event", Limit: maxEventBytes}
	case e.Meter != nil && len(event.Raw) > unmeteredEventBytes:
		return e.Meter(appended)
	}
	return nil
}

// isField reports whether a line is a field with the given name.
func isField(line, name []byte) bool {
	if !bytes.HasPrefix(line, name) {
		return false
	}
	return len(line) == len(name) || bytes.IndexByte([]byte(":\r\n"), line[len(name)]) >= 0
}
