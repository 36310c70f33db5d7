// Package hostileclients tests whole processes against crowds of clients that keep no limit.
package hostileclients

import (
	"flag"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	crowdSize     = 600
	crowdDuration = 6 * time.Second
	// reconnectPause bounds the rate of the crowd's connections.
	reconnectPause = 10 * time.Millisecond
	// memoryMB is the memory of the machine in the settings of an instance. memoryBound is the same in bytes.
	memoryMB    = 64
	memoryBound = memoryMB << 20
	// descriptorBound bounds the open descriptors of an instance.
	descriptorBound = 3075 - 200
	// logBound is what an instance may log while a crowd is there, in bytes a second.
	logBound = 1 << 20
)

// reportOrdinary has the tests report how ordinary requests fare beside the crowd, one each 0.2 s.
var reportOrdinary = flag.Bool("hostile.ordinary", false, "report how ordinary requests fare beside the crowd")

// form is what each client of a crowd sends on a connection, until an error.
type form func(w io.Writer) error

// once sends a text and nothing after it.
func once(text string) form {
	return func(w io.Writer) error {
		_, err := io.WriteString(w, text)
		return err
	}
}

// endless sends a start and then a piece again and again.
func endless(start, piece string) form {
	return func(w io.Writer) error {
		_, err := io.WriteString(w, start)
		for err == nil {
			_, err = io.WriteString(w, piece)
		}
		return err
	}
}

// dribble sends a text with a pause after each byte.
func dribble(text string, pause time.Duration) form {
	return func(w io.Writer) error {
		for i := range len(text) {
			if _, err := io.WriteString(w, text[i:i+1]); err != nil {
				return err
			}
			time.Sleep(pause)
		}
		return nil
	}
}

// shortFields returns fields of different names with empty values, of so many bytes together.
func shortFields(bytes int) string {
	var b strings.Builder
	for i := 0; b.Len() < bytes; i++ {
		fmt.Fprintf(&b, "x%x:\r\n", i)
	}
	return b.String()[:bytes]
}

// crowd is a number of clients that send a form to an address, each one connection after the other.
type crowd struct {
	address string
	size    int
	send    form
	// deaf clients read nothing.
	deaf bool
}

// run runs the crowd and calls watch from time to time.
func (c crowd) run(watch func()) {
	end := time.Now().Add(crowdDuration)
	var clients sync.WaitGroup
	for range c.size {
		clients.Go(func() {
			for time.Now().Before(end) {
				c.connect(end)
				time.Sleep(reconnectPause)
			}
		})
	}
	for time.Now().Before(end) {
		watch()
		time.Sleep(100 * time.Millisecond)
	}
	clients.Wait()
}

// connect sends the form on one connection, and reads until that is closed.
func (c crowd) connect(end time.Time) {
	conn, err := net.DialTimeout("tcp", c.address, time.Until(end))
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(end)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_ = c.send(conn)
	}()
	if c.deaf {
		<-sent
		return
	}
	_, _ = io.Copy(io.Discard, conn)
	_ = conn.Close()
	<-sent
}

// startOrdinary sends ordinary requests, if that is asked for. The function that it returns reports how many were answered.
func startOrdinary(answered func() bool) (report func() string) {
	if !*reportOrdinary {
		return func() string { return "no ordinary requests beside the crowd" }
	}
	var served, sent atomic.Int64
	stop := make(chan struct{})
	var senders sync.WaitGroup
	senders.Go(func() {
		ticker := time.NewTicker(200 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				senders.Go(func() {
					sent.Add(1)
					if answered() {
						served.Add(1)
					}
				})
			}
		}
	})
	return func() string {
		close(stop)
		senders.Wait()
		return fmt.Sprintf("%d of %d ordinary requests were answered beside the crowd", served.Load(), sent.Load())
	}
}

// withstand runs a crowd against a process, and checks what must hold during and after it. answered
// sends an ordinary request and reports whether it was answered.
func withstand(t *testing.T, p *process, c crowd, answered func() bool) {
	t.Helper()
	descriptors, logged := 0, p.logBytes()
	before := p.peakMemory()
	ordinary := startOrdinary(answered)
	c.run(func() { descriptors = max(descriptors, p.descriptors()) })
	t.Log(ordinary())
	assert.Assert(t, p.isAlive(), "the process has ended: %s", p.logTail())
	peak, lines := p.peakMemory(), p.logBytes()-logged
	t.Logf("peak %d MB, %d MB before; %d descriptors; %d KB of log", peak>>20, before>>20, descriptors, lines>>10)
	assert.Check(t, peak <= memoryBound, "%d bytes of memory, %d are allowed", peak, memoryBound)
	assert.Check(t, descriptors <= descriptorBound, "%d descriptors, %d are allowed", descriptors, descriptorBound)
	assert.Check(t, lines <= logBound*int64(crowdDuration/time.Second), "%d bytes of log", lines)
	await(t, "an ordinary request is not answered after the crowd", answered)
	assert.Check(t, p.isAlive(), "the process has ended: %s", p.logTail())
}
