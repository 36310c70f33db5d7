package hostileclients

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/platform"
	"github.com/carawaystile/carawaystile/platform/platformtest"
	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/tables"
)

// Ports of the instances of a forwarding deployment, and of the platform around them.
const (
	portCallers   = 8080
	portReady     = 8081
	portOperators = 8082
	portMetrics   = 8083
	portInstances = 7340
	portEndpoint  = 9000
	portList      = 9001
)

const (
	host        = "hostile.example"
	key         = "key-ordinary"
	headerBytes = 16 << 10
)

// forwardingDeployment is three control instances, with endpoints and the list around them. Entry
// instances are started one at a time.
type forwardingDeployment struct {
	t        *testing.T
	daemon   string
	subnet   string
	controls []*process
	entries  int
}

func (d *forwardingDeployment) at(instance, port int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("%s.%d:%d", d.subnet, instance, port))
}

// newForwardingDeployment starts all but the entry instances.
func newForwardingDeployment(t *testing.T) *forwardingDeployment {
	t.Helper()
	return newForwardingDeploymentBehind(t, portEndpoint)
}

// newForwardingDeploymentBehind is newForwardingDeployment with endpoints that listen on another port than the list names.
func newForwardingDeploymentBehind(t *testing.T, portListened int) *forwardingDeployment {
	t.Helper()
	d := &forwardingDeployment{t: t, daemon: filepath.Join(build(t, "carawaystiled"), "carawaystiled"), subnet: freeSubnet(t)}
	fleet := platformtest.NewFleet()
	t.Cleanup(fleet.Close)
	assert.NilError(t, fleet.ServeList(d.at(200, portList)))
	for i, service := range []string{"desk", "desk", "models", "models"} {
		o := platformtest.Options{
			ID: tables.EndpointID(fmt.Sprintf("e%d", i)), Service: service, Zone: "z", Slots: 8, ServiceTime: 5 * time.Millisecond,
			Listen: d.at(100+i, portListened), Address: d.at(100+i, portEndpoint),
		}
		if service == "models" {
			o.Model, o.Weights, o.EventInterval = "m", 1, 5*time.Millisecond
		}
		_, err := fleet.Start(o)
		assert.NilError(t, err)
	}
	for i := 1; i <= 3; i++ {
		d.controls = append(d.controls, d.start(i, "control", fmt.Sprintf("  operators: %q\n", d.at(i, portOperators))))
	}
	d.configure()
	return d
}

// start starts instance i with a role and the addresses that only this has.
func (d *forwardingDeployment) start(i int, role, listen string) *process {
	folder := d.t.TempDir()
	var b strings.Builder
	fmt.Fprintf(&b, "instance: %s-%d\nzone: z\nroles: [%s]\nnew_deployment: true\nsource: %q\n", role, i, role, d.at(i, 1).Addr())
	if role == "control" {
		fmt.Fprintf(&b, "data: %q\n", folder)
	}
	fmt.Fprintf(&b, "listen:\n%s  instances: %q\n  membership: %q\n  metrics: %q\n",
		listen, d.at(i, portInstances), d.at(i, portInstances), d.at(i, portMetrics))
	fmt.Fprintf(&b, "seeds: [%q, %q, %q]\n", d.at(1, portOperators), d.at(2, portOperators), d.at(3, portOperators))
	fmt.Fprintf(&b, "tolerate_instances: 1\nmemory_mb: %d\nplatform_list: %q\n", memoryMB, d.at(200, portList))
	b.WriteString("drain:\n  announce: 100ms\n  timeout: 5s\n")
	settings := filepath.Join(d.t.TempDir(), "settings.yaml")
	assert.NilError(d.t, os.WriteFile(settings, []byte(b.String()), 0o600))
	return start(d.t, filepath.Join(d.t.TempDir(), "log"), d.daemon, "forward", "-settings", settings)
}

// configure sends the configuration until it is accepted.
func (d *forwardingDeployment) configure() {
	document := platformtest.EncodeConfiguration(routes.Configuration{
		Revision: 1,
		Services: []routes.Service{
			{Name: "desk", MaxConnections: 100},
			{Name: "models", MaxConnections: 300, Slots: 8, KVCapacityTokens: 1_000_000, Models: []string{"m"}},
		},
		Organisations: []routes.Organisation{{ID: "ordinary", Keys: []string{key}}},
		Limits: routes.ClientLimits{
			HeaderBytes: headerBytes, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
		},
		Routes: []routes.Route{
			{
				Name: "safe", Host: host, Prefix: "/safe/", Kind: routes.Idempotent, Timeout: 5 * time.Second, MaxAttempts: 2,
				TrafficSplit: []routes.WeightedService{{Service: "desk", Weight: 1}},
			},
			{
				Name: "draft", Host: host, Prefix: "/draft/", Kind: routes.Stream, Timeout: 5 * time.Second, MaxAttempts: 2, Inference: true,
				TrafficSplit: []routes.WeightedService{{Service: "models", Weight: 1}},
			},
		},
	})
	call := platformtest.OperatorClient{Client: &http.Client{Timeout: time.Second}}
	await(d.t, "the configuration is not accepted", func() bool {
		status, err := call.PutConfiguration(context.Background(), d.at(1, portOperators), document)
		return err == nil && status == http.StatusOK
	})
}

// startEntry starts another entry instance and waits until it answers. It returns the address of its
// listeners and the process.
func (d *forwardingDeployment) startEntry() (ip int, p *process) {
	d.entries++
	ip = 10 + d.entries
	p = d.start(ip, "entry", fmt.Sprintf("  callers: %q\n  ready: %q\n", d.at(ip, portCallers), d.at(ip, portReady)))
	await(d.t, "the entry instance does not answer", func() bool { return d.answered(ip) })
	return ip, p
}

// answered sends an ordinary request on a new connection.
func (d *forwardingDeployment) answered(ip int) bool {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request := platformtest.ClientRequest{
		ID: fmt.Sprintf("%016x", time.Now().UnixNano()), Host: host, Path: "/safe/ordinary", Key: key, Body: []byte("ordinary"), Timeout: 4 * time.Second,
	}
	r, err := request.Request(context.Background(), d.at(ip, portCallers))
	assert.NilError(d.t, err)
	resp, err := client.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return request.CheckResponse(resp).Complete
}

// names are the names of the platform's headers.
var names = platform.Headers()

// field returns a line of a header.
func field(name, value string) string { return name + ": " + value + "\r\n" }

// head returns the start of a request with a valid key.
func head(path string) string {
	return "POST " + path + " HTTP/1.1\r\n" + field("Host", host) + field("Authorization", names.AuthScheme+" "+key) + field(names.Deadline, "4000")
}

// promptParts returns a list of parts of a prompt, of so many bytes.
func promptParts(bytes int) string {
	var b strings.Builder
	for i := 1; b.Len() < bytes; i++ {
		fmt.Fprintf(&b, "%x:1,", i)
	}
	return strings.TrimSuffix(b.String()[:bytes], ",")
}

// manyParts returns a request whose header is just within the limit and lists some 3,000 prompt parts.
func manyParts() string {
	start := head("/draft/x") + field(names.RequestID, "00000000000000aa") + field(names.Model, "m") + field(names.TokenCounts, "4000,4") +
		field("Content-Length", "0") + names.PromptParts + ": "
	return start + promptParts(headerBytes-len(start)-len("\r\n\r\n")-8) + "\r\n\r\n"
}

// callerForms are what clients of an entry instance send.
var callerForms = []struct {
	name string
	send form
	deaf bool
}{
	{name: "unfinished_header_of_60_KB_in_short_fields", send: once(head("/safe/x") + shortFields(60_000))},
	{name: "unfinished_header_of_15_KB_in_short_fields", send: once(head("/safe/x") + shortFields(15_000))},
	{name: "unfinished_header_of_60_KB_in_one_line", send: once(head("/safe/x") + "X: " + strings.Repeat("x", 60_000))},
	{name: "headers_of_60_KB_again_and_again", send: endless("", head("/safe/x")+shortFields(60_000)+"\r\nContent-Length: 0\r\n\r\n")},
	{name: "headers_of_15_KB_again_and_again", send: endless("", head("/safe/x")+shortFields(15_000)+"\r\nContent-Length: 0\r\n\r\n")},
	{name: "fields_without_end", send: endless(head("/safe/x"), shortFields(60_000)+"\r\n")},
	{name: "URL_without_end", send: endless("GET /", strings.Repeat("x", 1000))},
	{name: "folded_lines_without_end", send: endless(head("/safe/x")+"X: y\r\n", strings.Repeat(" x\r\n", 250))},
	{name: "spaces_without_end", send: endless("", strings.Repeat(" ", 1000))},
	{name: "empty_lines_without_end", send: endless("", strings.Repeat("\r\n", 500))},
	{name: "carriage_returns_without_end", send: endless("", strings.Repeat("\r", 1000))},
	{name: "empty_lines_after_a_request", send: endless(head("/safe/x")+"Content-Length: 0\r\n\r\n", strings.Repeat("\r\n", 500))},
	{name: "chunks_without_end", send: endless(head("/safe/x")+"Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n"+strings.Repeat("x", 1000)+"\r\n")},
	{name: "trailers_without_end", send: endless(head("/safe/x")+"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", shortFields(4000)+"\r\n")},
	{name: "bodies_that_stop", send: once(head("/safe/x") + "Content-Length: 4000000\r\n\r\n" + strings.Repeat("x", 200_000))},
	{name: "prompts_of_many_parts", send: endless("", manyParts())},
	{name: "request_IDs_of_13_KB", send: endless("", head("/safe/x")+"Content-Length: 0\r\n"+field(names.RequestID, strings.Repeat("a", 13_000))+"\r\n")},
	{name: "answers_that_are_not_read", send: endless("", head("/safe/x")+"Content-Length: 0\r\n\r\n"), deaf: true},
	{name: "streams_that_are_not_read", send: endless("", head("/draft/x")+field(names.Model, "m")+field(names.TokenCounts, "10,1000")+"Content-Length: 0\r\n\r\n"), deaf: true},
	{name: "silence", send: once("")},
	{name: "a_byte_at_a_time", send: dribble(head("/safe/x"), 300*time.Millisecond)},
}

// Guards against an entry instance that runs out of memory or descriptors, or hangs, because of what callers send.
func TestCrowdsOfCallers(t *testing.T) {
	d := newForwardingDeployment(t)
	for _, one := range callerForms {
		t.Run(one.name, func(t *testing.T) {
			ip, p := d.startEntry()
			defer p.kill()
			withstand(t, p, crowd{address: d.at(ip, portCallers).String(), size: crowdSize, send: one.send, deaf: one.deaf}, func() bool { return d.answered(ip) })
		})
	}
}

// Guards against an instance that runs out of memory because of what reaches its other listeners.
func TestCrowdsAtOtherListeners(t *testing.T) {
	d := newForwardingDeployment(t)
	for name, port := range map[string]int{"readiness": portReady, "metrics": portMetrics, "instances": portInstances} {
		t.Run(name, func(t *testing.T) {
			ip, p := d.startEntry()
			defer p.kill()
			send := once("GET /readyz HTTP/1.1\r\nHost: h\r\n" + shortFields(60_000))
			withstand(t, p, crowd{address: d.at(ip, port).String(), size: crowdSize, send: send}, func() bool { return d.answered(ip) })
		})
	}
	t.Run("operators", func(t *testing.T) {
		ip, _ := d.startEntry()
		send := once("PUT /config HTTP/1.1\r\nHost: h\r\n" + shortFields(60_000))
		p := d.controls[0]
		withstand(t, p, crowd{address: d.at(1, portOperators).String(), size: crowdSize, send: send}, func() bool { return d.answered(ip) })
	})
}

// Guards against an instance that does not end, or does not reload its settings, beside a crowd of clients that take long.
func TestDrainBesideCrowd(t *testing.T) {
	d := newForwardingDeployment(t)
	for name, send := range map[string]form{
		"silence": once(""), "a byte at a time": dribble(head("/safe/x"), 300*time.Millisecond),
		"bodies that stop": once(head("/safe/x") + "Content-Length: 4000000\r\n\r\n" + strings.Repeat("x", 200_000)),
	} {
		t.Run(name, func(t *testing.T) {
			ip, p := d.startEntry()
			defer p.kill()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				crowd{address: d.at(ip, portCallers).String(), size: crowdSize, send: send}.run(func() {})
			}()
			time.Sleep(time.Second)
			assert.NilError(t, p.command.Process.Signal(syscall.SIGHUP))
			await(t, "an ordinary request is not answered after a reload", func() bool { return d.answered(ip) })
			assert.NilError(t, p.command.Process.Signal(syscall.SIGTERM))
			await(t, "the process does not end", func() bool { return !p.isAlive() })
			<-ended
			assert.Check(t, p.command.ProcessState.Success(), "%v", p.command.ProcessState)
		})
	}
}

// Guards against one request of exactly the limit that is refused, however it is written, and against one beyond it that is not.
func TestHeaderOfExactlyTheLimit(t *testing.T) {
	d := newForwardingDeployment(t)
	ip, p := d.startEntry()
	for name, fill := range map[string]func(bytes int) string{
		"spaces":   func(bytes int) string { return "X: " + strings.Repeat("x", bytes-5) + "\r\n" },
		"no space": func(bytes int) string { return "X:" + strings.Repeat("x", bytes-4) + "\r\n" },
		"short fields": func(bytes int) string {
			fields := strings.Repeat("x:\r\n", (bytes-100)/4)
			return fields + "X-Rest:" + strings.Repeat("x", bytes-len(fields)-9) + "\r\n"
		},
		"different short fields": func(bytes int) string {
			fields := shortFields(bytes - 100)
			fields = fields[:strings.LastIndex(fields, "\n")+1]
			return fields + "X-Rest:" + strings.Repeat("x", bytes-len(fields)-9) + "\r\n"
		},
		"line feeds": func(bytes int) string {
			fields := strings.Repeat("x:y\n", (bytes-100)/4)
			return fields + "X-Rest:" + strings.Repeat("x", bytes-len(fields)-8) + "\n"
		},
		"folded":        func(bytes int) string { return "X: y\r\n " + strings.Repeat("x", bytes-9) + "\r\n" },
		"spaces around": func(bytes int) string { return "X:" + strings.Repeat(" ", bytes-5) + "x\r\n" },
	} {
		start := head("/safe/x") + field(names.RequestID, "00000000000000aa") + "Connection: close\r\nContent-Length: 0\r\n"
		for _, beyond := range []int{0, 1} {
			request := start + fill(headerBytes+beyond-len(start)-len("\r\n")) + "\r\n"
			assert.Equal(t, len(request), headerBytes+beyond)
			status := d.status(ip, request)
			want := http.StatusOK
			if beyond > 0 {
				want = http.StatusRequestHeaderFieldsTooLarge
			}
			assert.Check(t, status == want, "%s, %d beyond the limit: %d", name, beyond, status)
		}
	}
	assert.Assert(t, p.isAlive())
}

// status sends bytes on a new connection and returns the status of the response; 0 for none.
func (d *forwardingDeployment) status(ip int, request string) int {
	conn, err := net.Dial("tcp", d.at(ip, portCallers).String())
	assert.NilError(d.t, err)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = fmt.Fprint(conn, request)
	assert.NilError(d.t, err)
	var status int
	_, _ = fmt.Fscanf(conn, "HTTP/1.1 %d", &status)
	return status
}
