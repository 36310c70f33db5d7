//go:build review

// Command stand2 runs the cases of the second review: it starts the daemon in both roles as separate processes on
// loopback addresses, with small stand-ins for the list, the servers, the operator and the consumers.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/carawaystile/carawaystile/platform/platformtest"
)

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  io.Writer
	start time.Time
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// lab is a small deployment with what stands around it.
type lab struct {
	*record
	subnet    string
	folder    string
	daemon    string
	instances []*instance
	closers   []func()
	memoryMB  int // of the entry instances

	mu sync.Mutex
	// entries are the raw entries of the list, by name; order keeps them stable.
	entries map[string]string
	order   []string
}

// instance is one process of the system.
type instance struct {
	lab     *lab
	name    string
	ip      string
	zone    string
	control bool
	path    string
	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan error
	asked   bool
}

const (
	portFront, portReady, portControl, portPeers, portMetrics = 8782, 8789, 8783, 7340, 7355
	portServer, portList                                      = 8080, 8784
)

func newLab(out, daemon string) (*lab, error) {
	file, err := os.Create(filepath.Join(out, "record.txt"))
	if err != nil {
		return nil, err
	}
	l := &lab{record: &record{file: file, start: time.Now()}, daemon: daemon, memoryMB: 284, entries: map[string]string{}}
	if l.folder, err = os.MkdirTemp("", "review2-"); err != nil {
		return nil, err
	}
	for i := range 200 {
		subnet := fmt.Sprintf("127.%d.%d", 201+i%50, (os.Getpid()+i)%250)
		held, err := platformtest.Listen(netip.MustParseAddrPort(subnet + ".254:9009"))
		if err == nil {
			l.subnet = subnet
			l.closers = append(l.closers, func() { held.Close() })
			break
		}
	}
	if l.subnet == "" {
		return nil, fmt.Errorf("no free addresses")
	}
	return l, nil
}

func (l *lab) ip(host int) string { return fmt.Sprintf("%s.%d", l.subnet, host) }

// addInstance adds a process. Hosts 1 to 3 are the control instances.
func (l *lab) addInstance(host int, zone string, control bool) *instance {
	role := "entry"
	if control {
		role = "control"
	}
	i := &instance{lab: l, name: fmt.Sprintf("%s-%s-%d", role, zone, host), ip: l.ip(host), zone: zone, control: control}
	i.path = filepath.Join(l.folder, i.name+".yaml")
	l.instances = append(l.instances, i)
	return i
}

// writeSettings writes the settings as the template of the deploy file gives them, with the bounds of tawe-clear.
func (i *instance) writeSettings(first bool) error {
	var b strings.Builder
	fmt.Fprintf(&b, "instance: %q\nzone: %q\n", i.name, i.zone)
	if i.control {
		data := filepath.Join(i.lab.folder, i.name+".data")
		if err := os.MkdirAll(data, 0o700); err != nil {
			return err
		}
		fmt.Fprintf(&b, "roles: [control]\ndata: %q\nlisten:\n  operators: \"%s:%d\"\n", data, i.ip, portControl)
	} else {
		fmt.Fprintf(&b, "roles: [entry]\nlisten:\n  callers: \"%s:%d\"\n  ready: \"%s:%d\"\n", i.ip, portFront, i.ip, portReady)
	}
	fmt.Fprintf(&b, "  instances: \"%s:%d\"\n  membership: \"%s:%d\"\n  metrics: \"%s:%d\"\nseeds:\n", i.ip, portPeers, i.ip, portPeers, i.ip, portMetrics)
	memory := i.lab.memoryMB
	if i.control {
		memory = 280
	}
	for n := 1; n <= 3; n++ {
		fmt.Fprintf(&b, "  - \"%s:%d\"\n", i.lab.ip(n), portControl)
	}
	fmt.Fprintf(&b, "new_deployment: %v\nsource: %q\ntolerate_instances: 1\nmemory_mb: %d\nlink_mbps: 1000\nprocessors: 0.4\nplatform_list: \"%s:%d\"\n", first, i.ip, memory, i.lab.ip(250), portList)
	b.WriteString("orders:\n  lease: 3000ms\n  fenced: true\n  weights_timeout: 8000ms\nretries:\n  ratio: 0.2\n  extra: 52\n  window: 10s\n  address_reuse: 2s\n")
	b.WriteString("capacity:\n  admission: auto\n  stream_pauses: auto\n  backups: auto\n  sizes: auto\n  startup: auto\nplatform_terms: [base, drain, config, cost, retry, recover, kvcache, stream, engine, tenants]\ndrain:\n  announce: 3s\n  timeout: 7s\n")
	return os.WriteFile(i.path, []byte(b.String()), 0o600)
}

func (i *instance) start(first bool) error {
	if err := i.writeSettings(first); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(i.lab.folder, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(i.lab.daemon, "forward")
	cmd.Env = append(os.Environ(), "CARAWAYSTILE_CONFIG="+i.path)
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan error, 1)
	i.mu.Lock()
	i.cmd, i.ended, i.asked = cmd, ended, false
	i.mu.Unlock()
	go func() {
		err := cmd.Wait()
		output.Close()
		i.mu.Lock()
		asked := i.asked
		i.mu.Unlock()
		if !asked {
			i.lab.note("process %s ended by itself: %v", i.name, err)
		}
		ended <- err
	}()
	return nil
}

func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		i.asked = true
	}
	if i.cmd != nil {
		_ = i.cmd.Process.Signal(s)
	}
}

// running reports whether the process still runs.
func (i *instance) running() bool { return i.cmd != nil && len(i.ended) == 0 }

// startAll starts three control and the given number of entry instances, and the list.
func (l *lab) startAll(entries int) error {
	if err := l.serveList(); err != nil {
		return err
	}
	zones := []string{"abertawe", "castell-nedd", "ystradgynlais"}
	for n := 1; n <= 3; n++ {
		l.addInstance(n, zones[n-1], true)
	}
	for n := range entries {
		l.addInstance(10+n, zones[n%3], false)
	}
	for _, i := range l.instances {
		if err := i.start(true); err != nil {
			return err
		}
	}
	return nil
}

func (l *lab) entry(n int) *instance { return l.instances[3+n] }

func (l *lab) close() {
	for _, i := range l.instances {
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGKILL)
	}
	for _, i := range l.instances {
		if i.cmd != nil {
			<-i.ended
		}
	}
	for _, c := range l.closers {
		c()
	}
	if os.Getenv("KEEP") != "" {
		l.note("logs in %s", l.folder)
		return
	}
	_ = os.RemoveAll(l.folder)
}

// setEntry sets a raw entry of the list; empty text removes it.
func (l *lab) setEntry(name, raw string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.entries[name]; !known {
		l.order = append(l.order, name)
	}
	l.entries[name] = raw
}

func (l *lab) serveList() error {
	handler := http.NewServeMux()
	handler.HandleFunc("GET /instances", func(w http.ResponseWriter, r *http.Request) {
		l.mu.Lock()
		var all []string
		for _, name := range l.order {
			if raw := l.entries[name]; raw != "" {
				all = append(all, raw)
			}
		}
		l.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"instances":[`+strings.Join(all, ",")+`],"next":null}`)
	})
	return l.serve(l.ip(250), portList, handler)
}

func (l *lab) serve(ip string, port int, handler http.Handler) error {
	listener, err := platformtest.Listen(netip.MustParseAddrPort(fmt.Sprintf("%s:%d", ip, port)))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler}
	l.closers = append(l.closers, func() { server.Close() })
	go server.Serve(listener)
	return nil
}

// putConfig sends a desired state until it is acknowledged.
func (l *lab) putConfig(document map[string]any) error {
	body, err := json.Marshal(document)
	if err != nil {
		return err
	}
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		for n := 1; n <= 3; n++ {
			if status := l.put(n, body); status == 200 {
				l.note("desired state %v acknowledged by %s", document["version"], l.instances[n-1].name)
				return nil
			} else if status == 400 {
				return fmt.Errorf("desired state refused")
			}
		}
	}
	return fmt.Errorf("desired state not acknowledged")
}

func (l *lab) put(host int, body []byte) int {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, "PUT", fmt.Sprintf("http://%s:%d/config", l.ip(host), portControl), bytes.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// awaitReady waits until an entry instance says that it is ready.
func (i *instance) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", i.ip, portReady))
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return nil
			}
		}
	}
	return fmt.Errorf("%s is not ready", i.name)
}

// answer is what a consumer gets.
type answer struct {
	status int
	seal   string
	header http.Header
	body   []byte
	err    error
	took   time.Duration
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	return fmt.Sprintf("status %d, seal %q, %d bytes", a.status, a.seal, len(a.body))
}

// send sends a request of a consumer on a channel of its own.
func (i *instance) send(method, host, path, id string, timeout time.Duration, header map[string]string, body string) answer {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	client := http.Client{Timeout: timeout, Transport: transport}
	r, _ := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", i.ip, portFront, path), strings.NewReader(body))
	r.Host = host
	r.Header.Set("X-Carawaystile-Attempt-Id", id)
	r.Header.Set("X-Carawaystile-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	for name, value := range header {
		r.Header.Set(name, value)
	}
	begin := time.Now()
	resp, err := client.Do(r)
	if err != nil {
		return answer{err: err, took: time.Since(begin)}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, seal: resp.Header.Get("X-Carawaystile-Server-Seal"), header: resp.Header, body: data, err: err, took: time.Since(begin)}
}
