package forward

import (
	"io"

	"github.com/carawaystile/carawaystile/bufferbudget"
)

// minBodyBuffer is the first size of the buffer of a body of unknown length, in bytes.
const minBodyBuffer = 4 << 10

// budgetError means that a request body does not fit into the budget.
type budgetError struct{}

func (*budgetError) Error() string { return "the buffer budget is used up" }

// requestBody reads a body into a buffer whose size the holder accounts for.
type requestBody struct {
	reader io.Reader
	server *Server
	holder *bufferbudget.Holder
	buffer []byte
}

// readAll reads to the end of a body of the given length, which is reserved already; -1 if it is unknown.
func (b *requestBody) readAll(length int64) ([]byte, error) {
	b.buffer = make([]byte, 0, max(length, 0)+1) // the byte beyond it is for the end of the body
	for {
		if len(b.buffer) == cap(b.buffer) && !b.grow() {
			return nil, &budgetError{}
		}
		n, err := b.reader.Read(b.buffer[len(b.buffer):cap(b.buffer)])
		b.buffer = b.buffer[:len(b.buffer)+n]
		if n > 0 {
			b.holder.Progress(b.server.options.Now())
		}
		if err == io.EOF {
			return b.buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow doubles the buffer. Both buffers count until the data is copied.
func (b *requestBody) grow() bool {
	old := cap(b.buffer)
	larger := max(2*old, minBodyBuffer)
	if !b.server.reserveNow(b.holder, int64(larger)) {
		return false
	}
	b.buffer = append(make([]byte, 0, larger), b.buffer...)
	if old >= minBodyBuffer {
		b.holder.Release(int64(old))
	}
	return true
}
