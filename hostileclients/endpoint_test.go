package hostileclients

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// portBehindFronts is the port of endpoints behind a front.
const portBehindFronts = 9100

// endpointFault is what an endpoint sends after it has read a request; nil for none.
type endpointFault struct{ send form }

// front stands before an endpoint, and sends what a fault says in its place.
type front struct {
	fault    *atomic.Pointer[endpointFault]
	endpoint netip.AddrPort
}

// startFronts starts a front before each endpoint of a deployment. The fault is that of all.
func startFronts(t *testing.T, d *forwardingDeployment) *atomic.Pointer[endpointFault] {
	t.Helper()
	fault := &atomic.Pointer[endpointFault]{}
	for i := range 4 {
		listener, err := net.Listen("tcp", d.at(100+i, portEndpoint).String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		f := &front{fault: fault, endpoint: d.at(100+i, portBehindFronts)}
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go f.serve(conn)
			}
		}()
	}
	return fault
}

// serve serves a connection.
func (f *front) serve(conn net.Conn) {
	defer conn.Close()
	fault := f.fault.Load()
	if fault == nil {
		f.forward(conn)
		return
	}
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if fault.send(conn) == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}

// forward copies both ways between a connection and the endpoint.
func (f *front) forward(conn net.Conn) {
	endpoint, err := net.Dial("tcp", f.endpoint.String())
	if err != nil {
		return
	}
	defer endpoint.Close()
	go func() {
		_, _ = io.Copy(endpoint, conn)
		_ = endpoint.Close()
	}()
	_, _ = io.Copy(conn, endpoint)
}

// Guards against an instance that runs out of memory because its endpoints send without end while many requests wait for them.
func TestEndpointsThatSendWithoutEnd(t *testing.T) {
	d := newForwardingDeploymentBehind(t, portBehindFronts)
	fault := startFronts(t, d)
	const signed = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	success := signed + field(names.Signature, "s")
	for _, one := range []struct {
		name string
		send form
	}{
		{"fields_without_end", endless(success, shortFields(60_000)+"\r\n")},
		{"unfinished_header_of_60_KB_in_short_fields", once(success + shortFields(60_000))},
		{"unfinished_header_of_60_KB_in_one_line", once(success + "X: " + strings.Repeat("x", 60_000))},
		{"headers_of_60_KB_and_an_unfinished_body", once(success + shortFields(60_000) + "\r\nContent-Length: 10\r\n\r\n")},
		{"interim_responses_without_end", endless("", "HTTP/1.1 103 A\r\n"+shortFields(10_000)+"\r\n\r\n")},
		{"body_without_end", endless(success+"\r\n", "data: "+strings.Repeat("x", 1000))},
		{"chunks_without_end", endless(success+"Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n"+strings.Repeat("x", 1000)+"\r\n")},
		{"trailers_without_end", endless(success+"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", shortFields(4000)+"\r\n")},
		{"bodies_that_stop", once(success + "Content-Length: 4000000\r\n\r\n" + strings.Repeat("x", 3_000_000))},
		{"events_without_end", endless(success+"\r\n", "data: x\n\n")},
	} {
		for _, route := range []string{"safe", "draft"} {
			t.Run(one.name+"/"+route, func(t *testing.T) {
				ip, p := d.startEntry()
				defer p.kill()
				fault.Store(&endpointFault{send: one.send})
				request := head("/"+route+"/x") + field(names.Model, "m") + field(names.TokenCounts, "10,10") + "Connection: close\r\nContent-Length: 0\r\n\r\n"
				answered := func() bool {
					fault.Store(nil)
					return d.answered(ip)
				}
				withstand(t, p, crowd{address: d.at(ip, portCallers).String(), size: crowdSize, send: once(request)}, answered)
			})
			time.Sleep(time.Second) // the next instance finds the endpoints in order
		}
	}
}
