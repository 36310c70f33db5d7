package settings

import (
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap/zapcore"

	"github.com/carawaystile/carawaystile/tables"
)

// Forwarding is the settings of one instance of a forwarding deployment, in which routes
// and endpoints come from the platform and requests are forwarded unchanged.
type Forwarding struct {
	Instance tables.InstanceID
	Zone     tables.Zone
	Entry    bool
	Control  bool
	// Data is the folder of a control instance; an entry instance has none.
	Data   string
	Listen ForwardingListen
	// Advertise holds the addresses at which other instances reach those in Listen, where
	// they differ, for example behind a port forwarder or a NAT gateway.
	Advertise ForwardingAdvertise
	// Source is the local IP address of outgoing connections; if it is invalid, the
	// operating system chooses.
	Source netip.Addr
	// Seeds are operator addresses of some control instances, the only other instances
	// that the settings name. The control instances among them listen for instances at the
	// same IP address and the ports of this instance.
	Seeds []netip.AddrPort
	// New is set when the whole deployment starts for the first time, with empty disks.
	// Only then may the seeds bootstrap a control group.
	New bool
	// Tolerate is the number of control instances that may fail at the same time.
	Tolerate int
	// MemoryMB is the memory available to the instance, and LinkMbps the bandwidth of its
	// network link; 0 if unknown.
	MemoryMB int
	LinkMbps float64
	// Processors is the number of processors of the instance, which may be a fraction; 0 if
	// unknown.
	Processors float64
	// List is the address of the platform's endpoint list.
	List    netip.AddrPort
	Orders  ForwardingOrders
	Retries ForwardingRetries
	Usage   ForwardingUsage
	// Capacity turns the decisions for contended services on and off.
	Capacity ForwardingCapacity
	// PlatformTerms names the terms of the platform that apply to the deployment. The adapter
	// to the platform interprets them.
	PlatformTerms []string
	Drain         Drain
	// LogLevel is the lowest level that is logged.
	LogLevel zapcore.Level
}

// ForwardingListen holds the addresses that an instance listens on.
type ForwardingListen struct {
	// Callers is for requests and Ready for the load balancer's health checks; entry
	// instances have both. Operators is for control instances.
	Callers   netip.AddrPort
	Ready     netip.AddrPort
	Operators netip.AddrPort
	// Instances is for other instances over TCP, Membership for failure detection over UDP.
	Instances  netip.AddrPort
	Membership netip.AddrPort
	// Metrics is for metric scrapers; invalid for none.
	Metrics netip.AddrPort
}

// ForwardingAdvertise holds the addresses that are announced to other instances. Those left
// out default to the addresses in ForwardingListen.
type ForwardingAdvertise struct {
	Instances  netip.AddrPort
	Membership netip.AddrPort
}

// ForwardingOrders configures orders to engines.
type ForwardingOrders struct {
	// Lease is the minimum time between orders of two instances to the same engine. It also
	// bounds how long an instance gives orders without contact to the control group.
	Lease time.Duration
	// Fenced states that engines check fencing tokens: they reject orders with an old one.
	Fenced bool
	// WeightsTimeout is how long after newer weights were requested a request may still
	// start on older ones.
	WeightsTimeout time.Duration
}

// ForwardingRetries is the retry budget of a service, over all instances.
type ForwardingRetries struct {
	Ratio float64
	// Extra is a number of retries per window. It may be a fraction, as the share of a
	// larger deployment's budget.
	Extra  float64
	Window time.Duration
	// AddressReuse is how long the platform keeps the address of an endpoint unassigned after
	// the endpoint has ended.
	AddressReuse time.Duration
}

// ForwardingUsage is the tolerance of usage limits: how far the usage of an organisation may
// exceed its limit within a window, over all instances. Overage is a fraction of the limit;
// Slack is added to it, in the unit of the limit.
type ForwardingUsage struct{ Overage, Slack float64 }

// Defaults of the forwarding settings.
const (
	defaultTolerate     = 1
	defaultMemoryMB     = 256
	defaultOrdersLease  = 3 * time.Second
	defaultRetryRatio   = 0.2
	defaultRetryExtra   = 20.0
	defaultRetryWindow  = 10 * time.Second
	defaultAddressReuse = 2 * time.Second
	defaultForwardDrain = 7 * time.Second
	// defaultForwardAnnounce exceeds the time in which a load balancer that checks once a
	// second and tolerates one failed check stops sending requests.
	defaultForwardAnnounce = 3 * time.Second
)

// ReadForwarding reads and validates a settings file. The error is a *ValidationError if
// the file is readable but invalid.
func ReadForwarding(path string) (*Forwarding, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return ParseForwarding(path, text)
}

// ParseForwarding does what ReadForwarding does, for a text in memory.
func ParseForwarding(file string, text []byte) (*Forwarding, error) {
	f, replaced, err := parseForwarding(file, text)
	if err == nil && len(replaced) > 0 {
		err = &ValidationError{Problems: replaced}
	}
	if err != nil {
		return nil, err
	}
	return f, nil
}

// ReadForwardingLenient does what ReadForwarding does, for an instance that must start
// despite invalid quantities: a quantity with a default is replaced by the default or by the
// nearest bound, and replaced reports it. All instances get the same file, so that one
// invalid quantity would otherwise stop all of them at once.
func ReadForwardingLenient(path string) (f *Forwarding, replaced []Problem, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, trace.ConvertSystemError(err)
	}
	return parseForwarding(path, text)
}

func parseForwarding(file string, text []byte) (f *Forwarding, replaced []Problem, err error) {
	var out collector
	f = &Forwarding{
		Tolerate: defaultTolerate,
		MemoryMB: defaultMemoryMB,
		Orders:   ForwardingOrders{Lease: defaultOrdersLease},
		Retries: ForwardingRetries{
			Ratio: defaultRetryRatio, Extra: defaultRetryExtra, Window: defaultRetryWindow, AddressReuse: defaultAddressReuse,
		},
		Drain:    Drain{Announce: defaultForwardAnnounce, Timeout: defaultForwardDrain},
		LogLevel: zapcore.InfoLevel,
	}
	if root, ok := parse(file, text, &out); ok {
		f.read(root)
		f.complete()
		f.check(root)
	}
	if err := out.err(); err != nil {
		out.problems = append(out.problems, out.replaced...)
		return nil, nil, out.err()
	}
	return f, out.replaced, nil
}

func (f *Forwarding) read(root node) {
	root.object(
		field{key: "instance", required: true, read: name(&f.Instance)},
		field{key: "zone", required: true, read: name(&f.Zone)},
		field{key: "roles", required: true, read: f.readRoles},
		field{key: "data", read: func(n node) { n.text(&f.Data) }},
		field{key: "listen", required: true, read: f.Listen.read},
		field{key: "advertise", read: f.Advertise.read},
		field{key: "source", read: f.readSource},
		field{key: "seeds", read: f.readSeeds},
		field{key: "new_deployment", read: boolean(&f.New)},
		field{key: "tolerate_instances", read: lenientInteger(&f.Tolerate, 0, 4)},
		field{key: "memory_mb", read: lenientInteger(&f.MemoryMB, 16, 1<<20)},
		field{key: "link_mbps", read: lenientNumber(&f.LinkMbps, 0, 1_000_000)},
		field{key: "processors", read: lenientNumber(&f.Processors, 0, 1024)},
		field{key: "platform_list", read: address(&f.List)},
		field{key: "orders", read: f.Orders.read},
		field{key: "retries", read: f.Retries.read},
		field{key: "usage", read: f.Usage.read},
		field{key: "capacity", read: f.Capacity.read},
		field{key: "platform_terms", read: f.readPlatformTerms},
		field{key: "drain", read: f.readDrain},
		field{key: "log_level", read: choice(&f.LogLevel, levelWords, levels)},
	)
}

func (f *Forwarding) readRoles(n node) {
	roles := map[string]*bool{"entry": &f.Entry, "control": &f.Control}
	n.list(func(item node) {
		var role *bool
		choice(&role, []string{"entry", "control"}, roles)(item)
		if role != nil {
			*role = true
		}
	})
	if !f.Entry && !f.Control {
		n.problem("the instance has no role", "[entry], [control] or [entry, control]")
	}
}

func (f *Forwarding) readSeeds(n node) {
	n.list(func(item node) {
		var at netip.AddrPort
		address(&at)(item)
		f.Seeds = append(f.Seeds, at)
	})
}

func (l *ForwardingListen) read(n node) {
	n.object(
		field{key: "callers", read: address(&l.Callers)},
		field{key: "ready", read: address(&l.Ready)},
		field{key: "operators", read: address(&l.Operators)},
		field{key: "instances", required: true, read: address(&l.Instances)},
		field{key: "membership", required: true, read: address(&l.Membership)},
		field{key: "metrics", read: address(&l.Metrics)},
	)
}

func (a *ForwardingAdvertise) read(n node) {
	n.object(
		field{key: "instances", read: address(&a.Instances)},
		field{key: "membership", read: address(&a.Membership)},
	)
}

func (f *Forwarding) readSource(n node) {
	const right = "an IP number of this machine, such as 10.0.1.5"
	s, ok := n.scalar(right)
	if !ok {
		return
	}
	at, err := netip.ParseAddr(s)
	if err != nil {
		n.problem(strconv.Quote(s)+" is no IP number", right)
		return
	}
	f.Source = at
}

// complete sets the defaults that depend on other settings.
func (f *Forwarding) complete() {
	if !f.Advertise.Instances.IsValid() {
		f.Advertise.Instances = f.Listen.Instances
	}
	if !f.Advertise.Membership.IsValid() {
		f.Advertise.Membership = f.Listen.Membership
	}
}

func (o *ForwardingOrders) read(n node) {
	n.object(
		field{key: "lease", read: lenientDuration(&o.Lease, time.Second, time.Minute)},
		field{key: "fenced", read: boolean(&o.Fenced)},
		field{key: "weights_timeout", read: lenientDuration(&o.WeightsTimeout, 0, time.Hour)},
	)
}

func (r *ForwardingRetries) read(n node) {
	n.object(
		field{key: "ratio", read: lenientNumber(&r.Ratio, 0, 10)},
		field{key: "extra", read: lenientNumber(&r.Extra, 0, 1_000_000)},
		field{key: "window", read: lenientDuration(&r.Window, time.Second, time.Hour)},
		field{key: "address_reuse", read: lenientDuration(&r.AddressReuse, 0, time.Hour)},
	)
}

func (u *ForwardingUsage) read(n node) {
	n.object(
		field{key: "overage", read: lenientNumber(&u.Overage, 0, 1)},
		field{key: "slack", read: lenientNumber(&u.Slack, 0, 1_000_000_000)},
	)
}

func (f *Forwarding) readDrain(n node) {
	n.object(
		field{key: "announce", read: lenientDuration(&f.Drain.Announce, 0, 10*time.Minute)},
		field{key: "timeout", read: lenientDuration(&f.Drain.Timeout, 0, maxTimeout)},
	)
}

// check reports missing settings that the instance's roles require.
func (f *Forwarding) check(root node) {
	if f.Entry && (!f.Listen.Callers.IsValid() || !f.Listen.Ready.IsValid()) {
		root.problem("an entry instance has no address for callers or for the balancer's checks", "listen: with callers: and ready:")
	}
	if f.Control && !f.Listen.Operators.IsValid() {
		root.problem("a control instance has no address for operators", "listen: with operators:")
	}
	if f.Control && f.Data == "" {
		root.problem("a control instance has no data folder", "a line with data:")
	}
	if !f.Control && len(f.Seeds) == 0 {
		root.problem("the instance knows no control instance", "a list of seeds:")
	}
}
