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

// eventTemplate contains the constant parts of the server-sent events of one
// completion. Only the text differs between the events of a stream, so the rest
// is encoded once.
type eventTemplate struct {
	// tokenPrefix and tokenSuffix enclose the text of a token.
	tokenPrefix, tokenSuffix string
	// opening is sent before the first token; may be empty.
	opening string
	// finishPrefix and finishSuffix enclose the finish reason.
	finishPrefix, finishSuffix string
}

// newEventTemplate returns the template of a text completion or, if chat is
// set, of a chat completion.
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

// doneEvent ends a stream that is complete.
const doneEvent = "data: [DONE]\n\n"

// eventStream renders a completion as server-sent events, one event per Read,
// so that each event can be flushed separately.
type eventStream struct {
	source completionSource
	// onFailure is called with the failure that ends the stream.
	onFailure func(*outcome.Failure)
	template  eventTemplate
	encoder   jx.Encoder
	// unread is the part of an event that did not fit the buffer of the last
	// Read.
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

// Read reads the next event.
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

// render renders a token, the end of the completion if err is io.EOF, or a
// failure.
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

// renderToken renders the event of a token.
func (s *eventStream) renderToken(text string) {
	s.encoder.Reset()
	s.encoder.Str(text)
	s.buffer = append(s.buffer, s.template.tokenPrefix...)
	s.buffer = append(s.buffer, s.encoder.Bytes()...)
	s.buffer = append(s.buffer, s.template.tokenSuffix...)
}

// renderFinish renders the finish reason and the done event. It is the only
// function that does, and it is reached only if an endpoint has marked the
// response as complete.
func (s *eventStream) renderFinish() {
	s.ended = true
	s.buffer = append(s.buffer, s.template.finishPrefix...)
	s.buffer = append(s.buffer, s.source.finishReason()...)
	s.buffer = append(s.buffer, s.template.finishSuffix...)
	s.buffer = append(s.buffer, doneEvent...)
}

// renderFailure renders an error event without a done event. Callers could take
// a stream that merely stopped for a complete response.
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

// Close ends the request. It may be called more than once.
func (s *eventStream) Close() error {
	if !s.closed {
		s.closed = true
		s.source.close()
	}
	return nil
}

// finishReason returns why the completion ended: at its token limit or by
// itself.
func (r *responseReader) finishReason() string {
	if r.request.deliveredTokens >= r.request.spec.MaxTokens {
		return finishLength
	}
	return finishStop
}
