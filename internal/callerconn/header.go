package callerconn

import "bytes"

const (
	// headerByteCost is the memory of a byte of a header: net/http buffers a line and copies it into strings.
	headerByteCost = 2
	// headerFieldCost is the memory of a field beside its bytes, in bytes: its entries in the map of
	// net/http and in the copy that is forwarded.
	headerFieldCost = 256
	// MaxReadAhead is the size of the buffer of net/http, in bytes. So much of what follows a header may have
	// been read with it, so a header is refused while it is read only if it is larger than the limit and this.
	MaxReadAhead = 4 << 10
)

// headerScan follows the bytes of one request header.
type headerScan struct {
	// bytes and lines count what was read since the connection began to wait for the request, up to the
	// end of the header.
	bytes, lines int
	// ended is set once the empty line at the end of the header was read.
	ended bool
	// lineBytes counts the bytes of the current line without carriage returns at its end, and
	// carriageReturn is set if the last byte was one.
	lineBytes      int
	carriageReturn bool
}

// add scans the next bytes, and returns the memory that their parsed form occupies at most. net/http
// ends a header at the first empty line, whatever else the lines hold.
func (h *headerScan) add(p []byte) (cost int64) {
	before := *h
	for len(p) > 0 && !h.ended {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			h.bytes += len(p)
			h.lineBytes += len(p)
			h.carriageReturn = p[len(p)-1] == '\r'
			break
		}
		line := h.lineBytes + end
		if end > 0 && p[end-1] == '\r' || end == 0 && h.carriageReturn {
			line--
		}
		h.bytes += end + 1
		h.lines++
		h.ended = line == 0 && h.lines > 1
		h.lineBytes, h.carriageReturn = 0, false
		p = p[end+1:]
	}
	return int64(h.bytes-before.bytes)*headerByteCost + int64(h.lines-before.lines)*headerFieldCost
}
