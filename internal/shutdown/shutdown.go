// Package shutdown ends HTTP servers without losing an answer.
package shutdown

import (
	"context"
	"net/http"
	"time"
)

// flushTimeout bounds the wait for answers that are written; a caller that does not
// read must not hold up the end of an instance.
const flushTimeout = time.Second

// Flush closes a server's listeners and idle connections, and waits until the
// answers of handlers that have returned are written.
//
// A drain counts requests in its handlers. The last part of a small answer is
// written after its handler has returned: a server that is closed as soon as none is
// counted cuts it, and the caller of the very last request never hears of work that
// was done.
func Flush(ctx context.Context, server *http.Server) {
	bounded, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	_ = server.Shutdown(bounded) // what is left after the time is cut by Close
}
