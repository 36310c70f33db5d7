// Package shutdown closes HTTP servers gracefully, without truncating responses.
package shutdown

import (
	"context"
	"net/http"
	"time"
)

// flushTimeout bounds the wait for pending response writes; a client that does not
// read must not delay the shutdown of an instance.
const flushTimeout = time.Second

// Flush closes a server's listeners and idle connections, and waits until the
// responses of handlers that have returned are written.
//
// Draining counts requests in their handlers, but net/http writes the last part of a
// small response after the handler has returned. A server closed as soon as the count
// is zero truncates that response, and the client of the last request does not learn
// that its work was done.
func Flush(ctx context.Context, server *http.Server) {
	bounded, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	_ = server.Shutdown(bounded) // the caller's Close ends the connections that remain after the timeout
}
