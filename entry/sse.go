package entry

import (
	"errors"
	"io"

	"github.com/go-faster/jx"

	"github.com/carawaystile/carawaystile/entry/outcome"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	finishStop   = "stop"
	finishLength = "length"
)

// shape is how the events of one kind of completion look: everything but the
// text is the same in all events of a stream, so it is encoded once.
type shape struct {
	before, after string
	// opening is sent before the first token; may be empty.
	opening string
	// end is followed by the reason for the end and endAfter.
	end, endAfter string
}

func newShape(id tables.RequestID, model string, created int64, chat bool) shape {
	object, text, opening := "text_completion", `"text":`, ""
	head := func(object string) string {
		var e jx.Encoder
		e.ObjStart()
		e.FieldStart("id")
		e.Str(string(id))
		e.FieldStart("object")
		e.Str(object)
		e.FieldStart("created")
		e.Int64(created)
		e.FieldStart("model")
		e.Str(model)
		return "data: " + e.String() + `,"choices":[{"index":0,`
	}
	const tail = `,"finish_reason":null}]}` + "\n\n"
	if chat {
		object, text = "chat.completion.chunk", `"delta":{"content":`
		opening = head(object) + `"delta":{"role":"assistant","content":""}` + tail
		return shape{
			before: head(object) + text, after: "}" + tail, opening: opening,
			end: head(object) + `"delta":{},"finish_reason":"`, endAfter: `"}]}` + "\n\n",
		}
	}
	return shape{
		before: head(object) + text, after: tail,
		end: head(object) + `"text":"","finish_reason":"`, endAfter: `"}]}` + "\n\n",
	}
}

const endMark = "data: [DONE]\n\n"

// eventStream renders a flight's tokens as server-sent events, one event a
// Read, so that each can be flushed by itself.
type eventStream struct {
	source source
	// failed is told of a failure that ends the stream.
	failed  func(*outcome.Failure)
	shape   shape
	encoder jx.Encoder
	// waiting is what does not fit the caller's buffer yet.
	waiting []byte
	buffer  []byte
	opened  bool
	ended   bool
	closed  bool
}

// prime renders the first event.
func (s *eventStream) prime() error {
	text, err := s.source.next()
	if err != nil && err != io.EOF {
		return err
	}
	s.render(text, err)
	return nil
}

// Read gives the next event.
func (s *eventStream) Read(p []byte) (int, error) {
	if len(s.waiting) == 0 {
		if s.ended {
			return 0, io.EOF
		}
		s.render(s.source.next())
	}
	n := copy(p, s.waiting)
	s.waiting = s.waiting[n:]
	return n, nil
}

func (s *eventStream) render(text string, err error) {
	s.buffer = s.buffer[:0]
	if !s.opened {
		s.opened = true
		s.buffer = append(s.buffer, s.shape.opening...)
	}
	switch err {
	case nil:
		s.token(text)
	case io.EOF:
		s.finish()
	default:
		s.failure(err)
	}
	s.waiting = s.buffer
}

func (s *eventStream) token(text string) {
	s.encoder.Reset()
	s.encoder.Str(text)
	s.buffer = append(s.buffer, s.shape.before...)
	s.buffer = append(s.buffer, s.encoder.Bytes()...)
	s.buffer = append(s.buffer, s.shape.after...)
}

// finish writes the end mark. It is the only place that does, and it is reached
// only when an endpoint has marked the answer as whole.
func (s *eventStream) finish() {
	s.ended = true
	s.buffer = append(s.buffer, s.shape.end...)
	s.buffer = append(s.buffer, s.source.finishReason()...)
	s.buffer = append(s.buffer, s.shape.endAfter...)
	s.buffer = append(s.buffer, endMark...)
}

// failure writes an error event and no end mark: a stream that merely stopped
// could be taken for a whole answer.
func (s *eventStream) failure(err error) {
	s.ended = true
	var failure *outcome.Failure
	if !errors.As(err, &failure) {
		return
	}
	s.failed(failure)
	content := body(failure)
	s.encoder.Reset()
	content.Encode(&s.encoder)
	s.buffer = append(s.buffer, "event: error\ndata: "...)
	s.buffer = append(s.buffer, s.encoder.Bytes()...)
	s.buffer = append(s.buffer, "\n\n"...)
}

// Close ends the flight. It may be called more than once.
func (s *eventStream) Close() error {
	if !s.closed {
		s.closed = true
		s.source.close()
	}
	return nil
}

// finishReason says why the answer ended.
func (r *reader) finishReason() string {
	if r.flight.delivered >= r.flight.row.MaxTokens {
		return finishLength
	}
	return finishStop
}
