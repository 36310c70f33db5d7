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

// eventTemplate is how the events of one kind of completion look: everything but the
// text is the same in all events of a stream, so it is encoded once.
type eventTemplate struct {
	tokenPrefix, tokenSuffix string
	// opening is sent before the first token; may be empty.
	opening string
	// finishPrefix is followed by the reason for the finishPrefix and finishSuffix.
	finishPrefix, finishSuffix string
}

func newEventTemplate(id tables.RequestID, model string, created int64, chat bool) eventTemplate {
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
		return eventTemplate{
			tokenPrefix: head(object) + text, tokenSuffix: "}" + tail, opening: opening,
			finishPrefix: head(object) + `"delta":{},"finish_reason":"`, finishSuffix: `"}]}` + "\n\n",
		}
	}
	return eventTemplate{
		tokenPrefix: head(object) + text, tokenSuffix: tail,
		finishPrefix: head(object) + `"text":"","finish_reason":"`, finishSuffix: `"}]}` + "\n\n",
	}
}

const doneEvent = "data: [DONE]\n\n"

// eventStream renders a flight's tokens as server-sent events, one event a
// Read, so that each can be flushed by itself.
type eventStream struct {
	source completionSource
	// onFailure is told of a failure that ends the stream.
	onFailure func(*outcome.Failure)
	template  eventTemplate
	encoder   jx.Encoder
	// unread is what does not fit the caller's buffer yet.
	unread      []byte
	buffer      []byte
	openingSent bool
	ended       bool
	closed      bool
}

// renderFirst renders the first event.
func (s *eventStream) renderFirst() error {
	text, err := s.source.next()
	if err != nil && err != io.EOF {
		return err
	}
	s.render(text, err)
	return nil
}

// Read gives the next event.
func (s *eventStream) Read(p []byte) (int, error) {
	if len(s.unread) == 0 {
		if s.ended {
			return 0, io.EOF
		}
		s.render(s.source.next())
	}
	n := copy(p, s.unread)
	s.unread = s.unread[n:]
	return n, nil
}

func (s *eventStream) render(text string, err error) {
	s.buffer = s.buffer[:0]
	if !s.openingSent {
		s.openingSent = true
		s.buffer = append(s.buffer, s.template.opening...)
	}
	switch err {
	case nil:
		s.renderToken(text)
	case io.EOF:
		s.renderFinish()
	default:
		s.renderFailure(err)
	}
	s.unread = s.buffer
}

func (s *eventStream) renderToken(text string) {
	s.encoder.Reset()
	s.encoder.Str(text)
	s.buffer = append(s.buffer, s.template.tokenPrefix...)
	s.buffer = append(s.buffer, s.encoder.Bytes()...)
	s.buffer = append(s.buffer, s.template.tokenSuffix...)
}

// renderFinish writes the end mark. It is the only place that does, and it is reached
// only when an endpoint has marked the answer as whole.
func (s *eventStream) renderFinish() {
	s.ended = true
	s.buffer = append(s.buffer, s.template.finishPrefix...)
	s.buffer = append(s.buffer, s.source.finishReason()...)
	s.buffer = append(s.buffer, s.template.finishSuffix...)
	s.buffer = append(s.buffer, doneEvent...)
}

// renderFailure writes an error event and no end mark: a stream that merely stopped
// could be taken for a whole answer.
func (s *eventStream) renderFailure(err error) {
	s.ended = true
	var failure *outcome.Failure
	if !errors.As(err, &failure) {
		return
	}
	s.onFailure(failure)
	content := failureBody(failure)
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
func (r *responseReader) finishReason() string {
	if r.request.deliveredTokens >= r.request.spec.MaxTokens {
		return finishLength
	}
	return finishStop
}
