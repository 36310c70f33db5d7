//go:build review

// Package harness starts a small forwarding deployment for the cases of the review: control and
// entry instances as separate processes on loopback addresses, with stand-ins for the platform's
// list, the endpoints, the operators and the clients.
package harness

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/carawaystile/carawaystile/platform/platformtest"
	"github.com/carawaystile/carawaystile/routes"
)

// Exit codes of a case.
const (
	Held    = 0
	Broken  = 1
	Unusual = 2
)

// Ports of an instance; each instance has an address of its own.
const (
	portCallers   = 8080
	portReady     = 8081
	portOperators = 8082
	portMetrics   = 8083
	portInstances = 7340
	portEndpoint  = 9000
	portHeld      = 9
)

// Host numbers on the subnet of a run.
const (
	hostInstances = 1
	hostEndpoints = 100
	hostList      = 251
	hostHeld      = 252
)

// Zones of the deployment.
var Zones = []string{"za", "zb", "zc"}

// Record is the file that says what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  io.WriteCloser
	start time.Time
}

// NewRecord creates record.txt in the folder of the case.
func NewRecord(folder string) (*Record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	return &Record{file: file, start: time.Now()}, err
}

// Add writes a line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Instance is one process of the system.
type Instance struct {
	Name    string
	IP      netip.Addr
	zone    string
	control bool
	folder  string

	command *exec.Cmd
	ended   chan struct{}
}

// Deployment is the system under test with its stand-ins.
type Deployment struct {
	Record    *Record
	Fleet     *platformtest.Fleet
	Controls  []*Instance
	Entries   []*Instance
	Operator  platformtest.OperatorClient
	options   Options
	folder    string
	subnet    string
	held      net.Listener
	endpoints int
}

// Trouble reports whether the case runs with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Options are what differs between the deployments of the cases.
type Options struct {
	// Entries is the number of entry instances.
	Entries int
	// List serves the platform's list; nil for that of Deployment.Fleet.
	List http.Handler
	// Unfenced is set if servers don't check fencing tokens (enforce_fencing false).
	Unfenced bool
	// WeightsMS is version_ms of the site; 0 for that of tawe-clear.
	WeightsMS int
	// Terms are the contracts of the site beside the usual ones.
	Terms []string
}

// New prepares a deployment with three control instances and the given number of entry instances.
func New(record *Record, entries int) (*Deployment, error) {
	return NewWith(record, Options{Entries: entries})
}

// NewWith prepares a deployment with three control instances.
func NewWith(record *Record, o Options) (*Deployment, error) {
	folder, err := os.MkdirTemp("", "carawaystile-review-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Record: record, Fleet: platformtest.NewFleet(), folder: folder, options: o}
	d.Operator = platformtest.OperatorClient{Client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	for n := range 200 {
		d.subnet = fmt.Sprintf("127.%d.%d", 100+(os.Getpid()+n)%100, os.Getpid()/100%250)
		if d.held, err = platformtest.Listen(d.at(hostHeld, portHeld)); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	if err := d.serveList(o.List); err != nil {
		return nil, err
	}
	for n := range 3 + o.Entries {
		i := &Instance{IP: d.ip(hostInstances + n), zone: Zones[n%3], control: n < 3, folder: folder}
		if i.Name = fmt.Sprintf("edge-%d", n-2); i.control {
			i.Name = fmt.Sprintf("core-%d", n+1)
			d.Controls = append(d.Controls, i)
		} else {
			d.Entries = append(d.Entries, i)
		}
	}
	return d, nil
}

func (d *Deployment) serveList(list http.Handler) error {
	at := d.at(hostList, portEndpoint)
	if list == nil {
		return d.Fleet.ServeList(at)
	}
	listener, err := platformtest.Listen(at)
	if err == nil {
		go func() { _ = http.Serve(listener, list) }()
	}
	return err
}

func (d *Deployment) ip(host int) netip.Addr {
	return netip.MustParseAddr(fmt.Sprintf("%s.%d", d.subnet, host))
}

func (d *Deployment) at(host int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(d.ip(host), port)
}

// NextEndpoint returns a free address for an endpoint.
func (d *Deployment) NextEndpoint() netip.AddrPort {
	d.endpoints++
	return d.at(hostEndpoints+d.endpoints, portEndpoint)
}

// settings returns the settings of an instance as deploy/instance.yaml gives them for a small
// deployment (those of the site tawe-clear).
func (d *Deployment) settings(i *Instance, first bool) string {
	var b strings.Builder
	role := "entry"
	if i.control {
		role = "control"
	}
	fmt.Fprintf(&b, "instance: %q\nzone: %q\nroles: [%s]\n", i.Name, i.zone, role)
	if i.control {
		fmt.Fprintf(&b, "data: %q\n", filepath.Join(i.folder, i.Name+".data"))
	}
	b.WriteString("listen:\n")
	if i.control {
		fmt.Fprintf(&b, "  operators: %q\n", netip.AddrPortFrom(i.IP, portOperators))
	} else {
		fmt.Fprintf(&b, "  callers: %q\n  ready: %q\n", netip.AddrPortFrom(i.IP, portCallers), netip.AddrPortFrom(i.IP, portReady))
	}
	fmt.Fprintf(&b, "  instances: %q\n  membership: %q\n  metrics: %q\n",
		netip.AddrPortFrom(i.IP, portInstances), netip.AddrPortFrom(i.IP, portInstances), netip.AddrPortFrom(i.IP, portMetrics))
	b.WriteString("seeds:\n")
	for n := range 3 {
		fmt.Fprintf(&b, "  - %q\n", d.at(hostInstances+n, portOperators))
	}
	fmt.Fprintf(&b, "new_deployment: %v\ntolerate_instances: 1\nmemory_mb: 284\nlink_mbps: 1000.0\nprocessors: 0.4\n", first)
	fmt.Fprintf(&b, "platform_list: %q\n", d.at(hostList, portEndpoint))
	fmt.Fprintf(&b, "orders:\n  lease: 3000ms\n  fenced: %v\n  weights_timeout: %dms\n", !d.options.Unfenced, cmp.Or(d.options.WeightsMS, 8000))
	b.WriteString("retries:\n  ratio: 0.2\n  extra: 52\n  window: 10s\n  address_reuse: 2s\n")
	b.WriteString("capacity:\n  admission: auto\n  stream_pauses: auto\n  backups: auto\n  sizes: auto\n  startup: auto\n")
	terms := append([]string{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants"}, d.options.Terms...)
	fmt.Fprintf(&b, "platform_terms: [%s]\n", strings.Join(terms, ", "))
	b.WriteString("drain:\n  announce: 3s\n  timeout: 7s\n")
	return b.String()
}

// started holds the commands of all processes that were started.
var started sync.Map

// killStarted ends all processes that still run.
func killStarted() {
	started.Range(func(_, command any) bool {
		_ = command.(*exec.Cmd).Process.Kill()
		return true
	})
}

// Start starts a process with the command of deploy/system.toml.
func (d *Deployment) Start(i *Instance, first bool) error {
	path := filepath.Join(i.folder, i.Name+".yaml")
	if err := os.WriteFile(path, []byte(d.settings(i, first)), 0o600); err != nil {
		return err
	}
	if i.control {
		if err := os.MkdirAll(filepath.Join(i.folder, i.Name+".data"), 0o700); err != nil {
			return err
		}
	}
	output, err := os.OpenFile(filepath.Join(i.folder, i.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	i.command = exec.Command("target/carawaystiled", "forward")
	i.command.Env = append(os.Environ(), "CARAWAYSTILE_CONFIG="+path)
	i.command.Stdout, i.command.Stderr = output, output
	if err := i.command.Start(); err != nil {
		return err
	}
	started.Store(i.command.Process.Pid, i.command)
	command, ended := i.command, make(chan struct{})
	i.ended = ended
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(ended)
	}()
	return nil
}

// StartAll starts all processes.
func (d *Deployment) StartAll(first bool) error {
	for _, i := range d.Instances() {
		if err := d.Start(i, first); err != nil {
			return err
		}
	}
	return nil
}

// Instances returns all processes.
func (d *Deployment) Instances() []*Instance {
	return append(append([]*Instance{}, d.Controls...), d.Entries...)
}

// Signal sends a signal to the process.
func (i *Instance) Signal(s syscall.Signal) {
	if i.command != nil {
		_ = i.command.Process.Signal(s)
	}
}

// Kill kills the process and waits for its end.
func (i *Instance) Kill() {
	if i.command == nil {
		return
	}
	i.Signal(syscall.SIGKILL)
	<-i.ended
	i.command = nil
}

// Wait waits for the end of the process.
func (i *Instance) Wait() { <-i.ended }

// Running reports whether the process runs.
func (i *Instance) Running() bool {
	if i.command == nil {
		return false
	}
	select {
	case <-i.ended:
		return false
	default:
		return true
	}
}

// Callers is the address at which the instance takes requests.
func (i *Instance) Callers() netip.AddrPort { return netip.AddrPortFrom(i.IP, portCallers) }

// Ready reports whether the instance says that it is ready.
func (i *Instance) Ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + netip.AddrPortFrom(i.IP, portReady).String() + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until all entry instances are ready.
func (d *Deployment) AwaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, i := range d.Entries {
			if i.Ready() {
				ready++
			}
		}
		if ready == len(d.Entries) {
			return nil
		}
	}
	return fmt.Errorf("not all entry instances were ready after %v", limit)
}

// AddControl adds a control instance that isn't among the seeds, and doesn't start it.
func (d *Deployment) AddControl(zone int) *Instance {
	n := len(d.Controls) + len(d.Entries)
	i := &Instance{Name: fmt.Sprintf("core-%d", len(d.Controls)+1), IP: d.ip(hostInstances + n), zone: Zones[zone], control: true, folder: d.folder}
	d.Controls = append(d.Controls, i)
	return i
}

// Operators is the address at which a control instance takes operators' calls.
func (i *Instance) Operators() netip.AddrPort { return netip.AddrPortFrom(i.IP, portOperators) }

// Wipe kills a control instance and removes its data.
func (i *Instance) Wipe() error {
	i.Kill()
	return os.RemoveAll(filepath.Join(i.folder, i.Name+".data"))
}

// Leader returns the control instance that leads by the word of a control instance; nil for none.
func (d *Deployment) Leader() *Instance {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, asked := range d.Controls {
		resp, err := client.Get("http://" + netip.AddrPortFrom(asked.IP, portMetrics).String() + "/control")
		if err != nil {
			continue
		}
		var quorum struct {
			Leader   string   `json:"leader"`
			Voters   []string `json:"voters"`
			Learners []string `json:"learners"`
		}
		err = json.NewDecoder(resp.Body).Decode(&quorum)
		_ = resp.Body.Close()
		if err != nil || quorum.Leader == "" {
			continue
		}
		d.Record.Add("by %s: leader %s, voters %v, learners %v", asked.Name, quorum.Leader, quorum.Voters, quorum.Learners)
		for _, i := range d.Controls {
			if strings.HasPrefix(quorum.Leader, i.IP.String()+":") {
				return i
			}
		}
	}
	return nil
}

// Configure sends a desired state to one control instance after the other until it is acknowledged.
func (d *Deployment) Configure(c routes.Configuration) error {
	document := platformtest.EncodeConfiguration(c)
	for n := range 60 {
		to := d.Controls[n%len(d.Controls)]
		status, err := d.Operator.PutConfiguration(context.Background(), netip.AddrPortFrom(to.IP, portOperators), document)
		if err == nil && status == http.StatusOK {
			d.Record.Add("operator: version %d acknowledged by %s", c.Revision, to.Name)
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("version %d was not acknowledged", c.Revision)
}

// Put sends a desired state to one control instance and returns the status; 0 for no answer.
func (d *Deployment) Put(to *Instance, c routes.Configuration) int {
	status, err := d.Operator.PutConfiguration(context.Background(), to.Operators(), platformtest.EncodeConfiguration(c))
	if err != nil {
		return 0
	}
	return status
}

// NameWeights names a version of a model's weights until that is acknowledged.
func (d *Deployment) NameWeights(model string, version uint64) error {
	for n := range 60 {
		to := d.Controls[n%len(d.Controls)]
		status, err := d.Operator.PutWeights(context.Background(), netip.AddrPortFrom(to.IP, portOperators), model, version)
		if err == nil && status == http.StatusOK {
			d.Record.Add("operator: weights %d of %s acknowledged by %s", version, model, to.Name)
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("weights %d were not acknowledged", version)
}

// Close ends all processes and stand-ins. It keeps the logs if keep is set.
func (d *Deployment) Close(keep bool) {
	for _, i := range d.Instances() {
		i.Signal(syscall.SIGCONT)
		i.Kill()
	}
	d.Fleet.Close()
	_ = d.held.Close()
	if !keep && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}

// Folder holds the settings and logs of the instances.
func (d *Deployment) Folder() string { return d.folder }

// Main runs a case and ends the process with its exit code.
func Main(run func(r *Record) (int, error)) {
	folder := "."
	if len(os.Args) > 1 {
		folder = os.Args[1]
	}
	record, err := NewRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(Unusual)
	}
	time.AfterFunc(100*time.Second, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		killStarted()
		os.Exit(Unusual)
	})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		killStarted()
		os.Exit(Unusual)
	}()
	record.Add("disruption: %v", Trouble())
	code, err := run(record)
	if err != nil {
		record.Add("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = Unusual
	}
	verdict := map[int]string{Held: "the rule held", Broken: "the rule was broken", Unusual: "no verdict"}[code]
	record.Add("result: %s", verdict)
	fmt.Println(verdict)
	os.Exit(code)
}
