package httpresponse

import (
	"bytes"

	"golang.org/x/net/http/httpguts"
)

// statusLineStart is the form of the start of a status line; d stands for a digit.
const statusLineStart = "HTTP/1.d ddd"

// transferEncoding is the name of a field in lower case.
const transferEncoding = "transfer-encoding"

var lineFeed = []byte{'\n'}

// headState is a position in the head of a response.
type headState uint8

const (
	inStatusLine headState = iota
	inReason
	atLineStart
	// afterReturn follows a carriage return at the start of a line.
	afterReturn
	inName
	inValue
	afterHead
)

// Head checks the bytes of the head of a response as they are read. net/http does not keep them: it joins
// folded lines, accepts blanks in names, and ignores the chunks that a response of HTTP/1.0 declares. The zero
// value is ready to use.
type Head struct {
	state headState
	// column counts the bytes of the status line, or those of a name.
	column int
	// isOldVersion is set for HTTP/1.0, and namesEncoding while the current name may be transferEncoding.
	isOldVersion, namesEncoding bool
	bytes, lines                int
	err                         *MalformedError
}

const (
	// byteCost is the memory of a byte of a header, in bytes: net/http buffers a line and copies it into strings.
	// fieldCost is that of a field beside its bytes: its entries in the map of net/http and in its copy.
	byteCost  = 2
	fieldCost = 256
)

// Cost returns the memory that the parsed form of what was added occupies at most, in bytes.
func (h *Head) Cost() int64 { return int64(h.bytes)*byteCost + int64(h.lines)*fieldCost }

// Add checks the next bytes. What follows the head is ignored.
func (h *Head) Add(p []byte) {
	for len(p) > 0 && h.err == nil && h.state != afterHead {
		if h.state != inReason && h.state != inValue {
			h.next(p[0])
			p = h.count(p, 1)
			continue
		}
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			h.count(p, len(p))
			return
		}
		h.state = atLineStart
		p = h.count(p, end+1)
	}
	if h.err != nil { // net/http may read on
		h.count(p, len(p))
	}
}

// count counts the first n bytes and returns those after them.
func (h *Head) count(p []byte, n int) []byte {
	h.bytes += n
	h.lines += bytes.Count(p[:n], lineFeed)
	return p[n:]
}

// Err returns a *MalformedError if the head is malformed or not complete, and nil otherwise.
func (h *Head) Err() error {
	switch {
	case h.err != nil:
		return h.err
	case h.state != afterHead:
		return &MalformedError{What: "end of the header"}
	}
	return nil
}

// next checks a byte that is not a part of a reason or value.
func (h *Head) next(b byte) {
	switch h.state {
	case inStatusLine:
		h.nextOfStatusLine(b)
	case atLineStart:
		h.beginLine(b)
	case afterReturn:
		h.state = afterHead
		h.require(b == '\n', "end of a line")
	case inName:
		h.nextOfName(b)
	}
}

// nextOfStatusLine checks a byte of the version or the status.
func (h *Head) nextOfStatusLine(b byte) {
	if h.column == len(statusLineStart) {
		h.require(b == ' ' || b == '\r' || b == '\n', "status")
		h.state = inReason
		if b == '\n' {
			h.state = atLineStart
		}
		return
	}
	want := statusLineStart[h.column]
	isDigit := b >= '0' && b <= '9'
	h.require(b == want || want == 'd' && isDigit, "status line")
	switch h.column {
	case len("HTTP/1."):
		h.isOldVersion = b == '0'
	case len("HTTP/1.d "):
		h.require(b >= '1' && b <= '5', "status")
	}
	h.column++
}

// beginLine checks the first byte of a line.
func (h *Head) beginLine(b byte) {
	switch b {
	case '\r':
		h.state = afterReturn
	case '\n':
		h.state = afterHead
	default:
		h.state, h.column, h.namesEncoding = inName, 0, true
		h.nextOfName(b)
	}
}

// nextOfName checks a byte of a name or the colon after it.
func (h *Head) nextOfName(b byte) {
	if b == ':' {
		h.require(h.column > 0, "field name")
		isEncoding := h.namesEncoding && h.column == len(transferEncoding)
		h.require(!isEncoding || !h.isOldVersion, "transfer encoding")
		h.state = inValue
		return
	}
	h.require(httpguts.IsTokenRune(rune(b)), "field name")
	h.namesEncoding = h.namesEncoding && h.column < len(transferEncoding) && b|0x20 == transferEncoding[h.column]|0x20
	h.column++
}

// require records a part that is malformed.
func (h *Head) require(holds bool, what string) {
	if !holds && h.err == nil {
		h.err = &MalformedError{What: what}
	}
}
