// Package resetconn keeps the reset of a connection for its reader. The kernel reports a reset once, to whichever of a
// read and a write comes first, and ends later reads with io.EOF: a message that ends with its connection would be
// taken for whole.
package resetconn

import (
	"io"
	"net"
	"sync"
	"time"
)

// lastWriteTimeout is how long a write may take once the peer has ended what it sends.
const lastWriteTimeout = time.Second

// Conn is a connection whose reads end with the error of a write that has failed, in place of io.EOF. It is safe for
// concurrent use.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// idle signals that no write goes on.
	idle sync.Cond
	// writing counts the writes that go on, and failure is the error of the first that failed.
	writing int
	failure error
}

// New returns a connection that keeps resets.
func New(conn net.Conn) *Conn {
	c := &Conn{Conn: conn}
	c.idle.L = &c.mu
	return c
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing--
	if err != nil && c.failure == nil {
		c.failure = err
	}
	if c.writing == 0 {
		c.idle.Broadcast()
	}
	return n, err
}

// Read reads from the connection. It returns io.EOF only if no write has failed, for which it waits for those that
// go on.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		if failure := c.awaitWrites(); failure != nil {
			err = failure
		}
	}
	return n, err
}

// awaitWrites waits for the writes that go on, and returns the error of the first that failed.
func (c *Conn) awaitWrites() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing > 0 {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(lastWriteTimeout)) // fails only if the connection is closed
	}
	for c.writing > 0 {
		c.idle.Wait()
	}
	return c.failure
}
