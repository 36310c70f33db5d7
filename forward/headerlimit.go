package forward

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/internal/readlimit"
	"github.com/carawaystile/carawaystile/routes"
)

// headerMeter is a connection that knows the size of the current request's header as it was sent, in bytes.
type headerMeter interface {
	HeaderBytes() (bytes int, known bool)
}

// separator is what stands between the name and the value of a field, and shortSeparator its shortest form.
const (
	separator      = ": "
	shortSeparator = ":"
)

// headerBytes returns the size of a request's header in bytes. If the connection does not know it, it is that of the
// shortest header with the same fields; if there is no such connection, that of the usual one.
func headerBytes(r *http.Request) int {
	meter, ok := r.Context().Value(connKey{}).(headerMeter)
	if !ok {
		return parsedHeaderBytes(r, separator)
	}
	if bytes, known := meter.HeaderBytes(); known {
		return bytes
	}
	return parsedHeaderBytes(r, shortSeparator)
}

// parsedHeaderBytes returns the size of a header without what net/http removes.
func parsedHeaderBytes(r *http.Request, separator string) int {
	bytes := len(r.Method+" "+r.RequestURI+" "+r.Proto+"\r\n") + len("\r\n")
	field := len(separator) + len("\r\n")
	if r.Host != "" {
		bytes += len("Host") + len(r.Host) + field
	}
	for name, values := range r.Header {
		for _, value := range values {
			bytes += len(name) + len(value) + field
		}
	}
	return bytes
}

// logHeaderLimit logs that a configuration permits headers that the callers' server does not read.
func (s *Server) logHeaderLimit(t *routes.Table) {
	if t.Limits.HeaderBytes > readlimit.HeaderBytes {
		events.HeaderLimitTooLarge.Log(s.log, zap.Uint64("revision", t.Revision),
			zap.Int("limit", t.Limits.HeaderBytes), zap.Int("used", readlimit.HeaderBytes))
	}
}
