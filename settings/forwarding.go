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

// Forwarding is the settings of one instance of a forwarding deployment, in
// which routes and endpoints come from the platform and requests pass unchanged.
type Forwarding struct {
	Instance tables.InstanceID
	Zone     tables.Zone
	Entry    bool
	Control  bool
	// Data is the folder of a control instance; an entry instance has none.
	Data   string
	Listen ForwardingListen
	// Advertise holds the addresses at which others reach Listen's, where these
	// differ: behind a forwarder or another network's edge.
	Advertise ForwardingAdvertise
	// Source is the IP number that connections to others start from; invalid
	// leaves the choice to the machine.
	Source netip.Addr
	// Seeds are operator addresses of some control instances, the only others
	// that an instance is told of. The control instances among them listen for
	// instances at the same IP number and the ports of this instance.
	Seeds []netip.AddrPort
	// New is set when the whole deployment starts for the first time, with empty
	// disks; only then may the seeds found a control group.
	New bool
	// Tolerate is how many control instances may be lost at once.
	Tolerate int
	// MemoryMB is what the instance may use, and LinkMbps what its link carries; 0
	// if that is not known.
	MemoryMB int
	LinkMbps float64
	// Processors is how many processors the instance has, which may be a part of one;
	// 0 if that is not known.
	Processors float64
	// List serves the platform's list of endpoints.
	List    netip.AddrPort
	Orders  ForwardingOrders
	Retries ForwardingRetries
	Usage   ForwardingUsage
	Drain   Drain
	// LogLevel is the least level that is written.
	LogLevel zapcore.Level
}

// ForwardingListen holds the addresses an instance listens on.
type ForwardingListen struct {
	// Callers takes requests and Ready the balancer's checks; both are for entry
	// instances. Operators is for control instances.
	Callers   netip.AddrPort
	Ready     netip.AddrPort
	Operators netip.AddrPort
	// Instances serves other instances over TCP, Membership over UDP.
	Instances  netip.AddrPort
	Membership netip.AddrPort
	// Metrics serves counters and histograms; invalid for none.
	Metrics netip.AddrPort
}

// ForwardingAdvertise holds addresses that are told to other instances. What the
// settings do not name is that of ForwardingListen.
type ForwardingAdvertise struct {
	Instances  netip.AddrPort
	Membership netip.AddrPort
}

// ForwardingOrders bounds orders to engines.
type ForwardingOrders struct {
	// Lease is the least time between two instances' orders to one engine, and
	// bounds how long an instance gives orders without hearing from the group.
	Lease time.Duration
	// Fenced says that engines refuse orders with an old fencing number.
	Fenced bool
	// WeightsTimeout is how long after newer weights were named a request may
	// begin on older ones.
	WeightsTimeout time.Duration
}

// ForwardingRetries bounds repeated sends to a service, over all instances.
type ForwardingRetries struct {
	Ratio float64
	// Extra is a number of sends in a window; a share of a larger deployment's may
	// be a fraction.
	Extra  float64
	Window time.Duration
	// AddressReuse is for how long after an endpoint's end the platform gives its
	// address to no other process.
	AddressReuse time.Duration
}

// ForwardingUsage is by how much an organisation's use may exceed its limit within a window,
// over all instances: by Overage as a part of the limit, and by Slack beyond that, in the
// unit of the limit.
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
	// defaultForwardAnnounce is above the time in which a balancer that asks
	// once a second and forgives one miss stops sending callers.
	defaultForwardAnnounce = 3 * time.Second
)

// ReadForwarding reads and checks a settings file. Its failure is *Invalid when
// the file could be read but has faults.
func ReadForwarding(path string) (*Forwarding, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return ParseForwarding(path, text)
}

// ParseForwarding is ReadForwarding over a text already in memory.
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

// ReadForwardingLenient is ReadForwarding for an instance that is to run: faults of
// quantities that have a default do not keep it from it. They are returned in
// replaced, each with a default or the nearest bound in its place. The same file
// comes to all instances, so that one odd quantity would end them all at once.
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
		field{key: "tolerate_instances", read: whole(&f.Tolerate, 0, 4)},
		field{key: "memory_mb", read: whole(&f.MemoryMB, 16, 1<<20)},
		field{key: "link_mbps", read: quantity(&f.LinkMbps, 0, 1_000_000)},
		field{key: "processors", read: quantity(&f.Processors, 0, 1024)},
		field{key: "platform_list", read: address(&f.List)},
		field{key: "orders", read: f.Orders.read},
		field{key: "retries", read: f.Retries.read},
		field{key: "usage", read: f.Usage.read},
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

// complete fills in what follows from other settings.
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
		field{key: "lease", read: period(&o.Lease, time.Second, time.Minute)},
		field{key: "fenced", read: boolean(&o.Fenced)},
		field{key: "weights_timeout", read: period(&o.WeightsTimeout, 0, time.Hour)},
	)
}

func (r *ForwardingRetries) read(n node) {
	n.object(
		field{key: "ratio", read: quantity(&r.Ratio, 0, 10)},
		field{key: "extra", read: quantity(&r.Extra, 0, 1_000_000)},
		field{key: "window", read: period(&r.Window, time.Second, time.Hour)},
		field{key: "address_reuse", read: period(&r.AddressReuse, 0, time.Hour)},
	)
}

func (u *ForwardingUsage) read(n node) {
	n.object(
		field{key: "overage", read: quantity(&u.Overage, 0, 1)},
		field{key: "slack", read: quantity(&u.Slack, 0, 1_000_000_000)},
	)
}

func (f *Forwarding) readDrain(n node) {
	n.object(
		field{key: "announce", read: period(&f.Drain.Announce, 0, 10*time.Minute)},
		field{key: "timeout", read: period(&f.Drain.Timeout, 0, maxTimeout)},
	)
}

// check reports settings that contradict one another.
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
