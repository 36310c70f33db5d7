package logs

import (
	"bytes"
	"log"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/events"
)

// ServerErrors returns the error log of an http.Server. Each of its lines, such as one on a panic
// of a handler, becomes a numbered event.
func ServerErrors(to *zap.Logger) *log.Logger { return log.New(serverErrors{to}, "", 0) }

// panicPrefix is the start of what http.Server logs of a panic, with its stack.
const panicPrefix = "http: panic serving"

type serverErrors struct{ log *zap.Logger }

func (w serverErrors) Write(line []byte) (int, error) {
	text := bytes.TrimSpace(line)
	field := zap.String("error", string(text))
	if bytes.HasPrefix(text, []byte(panicPrefix)) {
		field = zap.ByteString("error", text) // is not truncated
	}
	events.ServerError.Log(w.log, field)
	return len(line), nil
}
