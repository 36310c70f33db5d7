package exchange

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/carawaystile/carawaystile/engine"
)

// connection is one TCP connection to an endpoint. It carries one request at a
// time and is used by one goroutine.
type connection struct {
	net.Conn
	to     netip.AddrPort
	reader *bufio.Reader
	// reused is set once it has carried a request.
	reused bool
	// idleUntil is when the endpoint may close it.
	idleUntil time.Time
	idleSince time.Time
}

const (
	// readBuffer holds an answer's header and most events.
	readBuffer = 4 << 10
	// defaultIdle is how long a connection is kept whose endpoint names no
	// timeout; idleMargin is taken off the timeout that one names, so that a
	// request is not sent just when the endpoint closes.
	defaultIdle = 5 * time.Second
	idleMargin  = 500 * time.Millisecond
	// maxIdle bounds the connections kept to one endpoint by one instance: the
	// endpoints' limits hold for all instances together.
	maxIdle = 8
)

// pool keeps connections that are between requests. It is safe for concurrent
// use.
type pool struct {
	dial engine.DialFunc
	mu   sync.Mutex
	idle map[netip.AddrPort][]*connection
}

// take returns an idle connection that is still sound, nil if there is none.
// One that has rested longer than freshFor is left out: zero means any.
//
// An endpoint may close an idle connection at any time, or send a second answer
// to an earlier request on it. A request that is sent on such a connection is
// lost or gets another's answer, and if it must run only once nobody may send
// it again. So each connection is looked at just before it is used.
func (p *pool) take(to netip.AddrPort, freshFor time.Duration) *connection {
	for {
		c := p.pop(to)
		if c == nil {
			return nil
		}
		now := time.Now()
		rested := freshFor > 0 && now.Sub(c.idleSince) > freshFor
		if !rested && now.Before(c.idleUntil) && c.quiet() {
			return c
		}
		_ = c.Close()
	}
}

func (p *pool) pop(to netip.AddrPort) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[to]
	if len(kept) == 0 {
		return nil
	}
	c := kept[len(kept)-1]
	p.idle[to] = kept[:len(kept)-1]
	return c
}

// put keeps a connection for the next request.
func (p *pool) put(c *connection, timeout time.Duration) {
	now := time.Now()
	c.reused = true
	c.idleSince = now
	c.idleUntil = now.Add(timeout)
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if timeout <= 0 || len(p.idle[c.to]) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle[c.to] = append(p.idle[c.to], c)
}

// forget closes the connections that are kept to an endpoint.
func (p *pool) forget(to netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[to] {
		_ = c.Close()
	}
	delete(p.idle, to)
}

// sweep closes the connections whose time is over.
func (p *pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for to, kept := range p.idle {
		fresh := kept[:0]
		for _, c := range kept {
			if now.Before(c.idleUntil) {
				fresh = append(fresh, c)
				continue
			}
			_ = c.Close()
		}
		if len(fresh) == 0 {
			delete(p.idle, to)
			continue
		}
		p.idle[to] = fresh
	}
}

func (p *pool) open(ctx context.Context, to netip.AddrPort) (*connection, error) {
	conn, err := p.dial(ctx, to)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, to: to, reader: bufio.NewReaderSize(conn, readBuffer)}, nil
}

// quiet says that the connection is open and nothing has come on it since the
// last answer.
func (c *connection) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = control.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// keepFor is how long the endpoint lets the connection rest.
func keepFor(header http.Header) time.Duration {
	for _, line := range header["Keep-Alive"] {
		for item := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
			seconds, err := strconv.Atoi(value)
			if strings.EqualFold(name, "timeout") && err == nil {
				return time.Duration(seconds)*time.Second - idleMargin
			}
		}
	}
	return defaultIdle
}
