package settings

import (
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap/zapcore"

	"github.com/carawaystile/carawaystile/tables"
)

// Process is the settings of one carawaystiled process.
type Process struct {
	Instance tables.InstanceID
	Zone     tables.Zone
	// Data is the folder of all durable state.
	Data string
	// Entry and Control are the roles of the instance; it has at least one.
	Entry   bool
	Control bool
	// Size is the capacity weight of this instance relative to others, such as its number
	// of cores.
	Size   int
	Listen Listen
	// ControlInstances are the instances with the control role.
	ControlInstances []ControlInstance
	// Peers are membership addresses of instances to join through; a few suffice.
	Peers []netip.AddrPort
	// PlatformList is the address of the platform's list of instances and endpoints;
	// invalid if there is none.
	PlatformList netip.AddrPort
	Keys         Keys
	Limits       Limits
	Drain        Drain
	LogLevel     zapcore.Level
	// Declarations is the path of the initial declarations, which are read once, at the
	// first start of a new deployment.
	Declarations string
}

// Listen holds the addresses that a process listens on.
type Listen struct {
	// Callers is for the callers' API and the load balancer's health checks.
	Callers netip.AddrPort
	// Instances is for operators and other instances.
	Instances netip.AddrPort
	// Membership is the UDP address for failure detection.
	Membership netip.AddrPort
}

// ControlInstance is one initial member of the control group.
type ControlInstance struct {
	Name    tables.InstanceID
	Zone    tables.Zone
	Address netip.AddrPort
}

// Keys has the paths of the shared key files. Changed files are reloaded, so that keys can
// be rotated without a restart.
type Keys struct {
	Instances string
	Operators string
}

// Limits bounds the resources of one instance that callers can occupy.
type Limits struct {
	// BodyBytes bounds the body of a request, HeaderBytes its header.
	BodyBytes   int64
	HeaderBytes int64
	// Connections bounds the number of open caller connections.
	Connections int
	// Requests bounds the requests in progress over all organisations, OrganisationRequests
	// those of one organisation.
	Requests             int
	OrganisationRequests int
	// MemoryBytes is the memory available to the instance; 0 if unknown.
	MemoryBytes int64
}

// Drain configures graceful shutdown.
type Drain struct {
	// Announce is how long new connections are still served after the load balancer was
	// notified of the shutdown.
	Announce time.Duration
	// Timeout ends the drain even if requests are still running.
	Timeout time.Duration
}

// Defaults of the process settings.
const (
	defaultBodyBytes            = 8 << 20
	defaultHeaderBytes          = 32 << 10
	defaultConnections          = 8192
	defaultRequests             = 4096
	defaultOrganisationRequests = 1024
	defaultAnnounce             = 5 * time.Second
	defaultDrainTimeout         = 30 * time.Minute
)

// ReadProcess reads and validates the settings file of a process. Relative paths in it are
// resolved against the folder of the file. The error is a *ValidationError if the file is
// readable but invalid.
func ReadProcess(path string) (*Process, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	p, err := ParseProcess(path, text)
	if err != nil {
		return nil, err
	}
	folder := filepath.Dir(path)
	for _, file := range []*string{&p.Data, &p.Keys.Instances, &p.Keys.Operators, &p.Declarations} {
		if *file != "" && !filepath.IsAbs(*file) {
			*file = filepath.Join(folder, *file)
		}
	}
	return p, nil
}

// ParseProcess does what ReadProcess does, for a text in memory; it leaves relative paths
// unresolved.
func ParseProcess(file string, text []byte) (*Process, error) {
	var out collector
	p := &Process{
		Size:     1,
		LogLevel: zapcore.InfoLevel,
		Limits: Limits{
			BodyBytes: defaultBodyBytes, HeaderBytes: defaultHeaderBytes, Connections: defaultConnections,
			Requests: defaultRequests, OrganisationRequests: defaultOrganisationRequests,
		},
		Drain: Drain{Announce: defaultAnnounce, Timeout: defaultDrainTimeout},
	}
	root, ok := parse(file, text, &out)
	if ok {
		p.read(root)
		p.check(root)
	}
	if err := out.err(); err != nil {
		return nil, err
	}
	return p, nil
}

func (p *Process) read(root node) {
	root.object(
		field{key: "instance", required: true, read: name(&p.Instance)},
		field{key: "zone", required: true, read: name(&p.Zone)},
		field{key: "data", required: true, read: func(n node) { n.text(&p.Data) }},
		field{key: "roles", required: true, read: p.readRoles},
		field{key: "size", read: integer(&p.Size, 1, maxConcurrent)},
		field{key: "listen", required: true, read: p.Listen.read},
		field{key: "control_instances", required: true, read: p.readControlInstances},
		field{key: "peers", read: p.readPeers},
		field{key: "platform_list", read: address(&p.PlatformList)},
		field{key: "keys", required: true, read: p.Keys.read},
		field{key: "limits", read: p.Limits.read},
		field{key: "drain", read: p.Drain.read},
		field{key: "log_level", read: choice(&p.LogLevel, levelWords, levels)},
		field{key: "declarations", read: func(n node) { n.text(&p.Declarations) }},
	)
}

var (
	levelWords = []string{"debug", "info", "warn", "error"}
	levels     = map[string]zapcore.Level{
		"debug": zapcore.DebugLevel, "info": zapcore.InfoLevel,
		"warn": zapcore.WarnLevel, "error": zapcore.ErrorLevel,
	}
)

func (p *Process) readRoles(n node) {
	roles := map[string]*bool{"entry": &p.Entry, "control": &p.Control}
	n.list(func(item node) {
		var role *bool
		choice(&role, []string{"entry", "control"}, roles)(item)
		if role != nil {
			*role = true
		}
	})
	if !p.Entry && !p.Control {
		n.problem("the instance has no role", "[entry], [control] or [entry, control]")
	}
}

func (p *Process) readControlInstances(n node) {
	seen := make(map[tables.InstanceID]bool)
	n.list(func(item node) {
		var c ControlInstance
		item.object(
			field{key: "name", required: true, read: name(&c.Name)},
			field{key: "zone", required: true, read: name(&c.Zone)},
			field{key: "address", required: true, read: address(&c.Address)},
		)
		if seen[c.Name] {
			item.problem("control instance "+string(c.Name)+" is listed twice", "one of the two")
		}
		seen[c.Name] = true
		p.ControlInstances = append(p.ControlInstances, c)
	})
}

func (p *Process) readPeers(n node) {
	n.list(func(item node) {
		var at netip.AddrPort
		address(&at)(item)
		p.Peers = append(p.Peers, at)
	})
}

func (l *Listen) read(n node) {
	n.object(
		field{key: "callers", read: address(&l.Callers)},
		field{key: "instances", required: true, read: address(&l.Instances)},
		field{key: "membership", required: true, read: address(&l.Membership)},
	)
}

func (k *Keys) read(n node) {
	n.object(
		field{key: "instances", required: true, read: func(n node) { n.text(&k.Instances) }},
		field{key: "operators", required: true, read: func(n node) { n.text(&k.Operators) }},
	)
}

func (l *Limits) read(n node) {
	n.object(
		field{key: "body", read: size(&l.BodyBytes, 1<<10, 1<<30)},
		field{key: "header", read: size(&l.HeaderBytes, 1<<10, 1<<20)},
		field{key: "connections", read: integer(&l.Connections, 1, maxConcurrent)},
		field{key: "requests", read: integer(&l.Requests, 1, maxConcurrent)},
		field{key: "memory", read: size(&l.MemoryBytes, 64<<20, 1<<40)},
		field{key: "requests_of_one_organisation", read: integer(&l.OrganisationRequests, 1, maxConcurrent)},
	)
}

func (d *Drain) read(n node) {
	n.object(
		field{key: "announce", read: duration(&d.Announce, 0, 10*time.Minute)},
		field{key: "timeout", read: duration(&d.Timeout, 0, maxTimeout)},
	)
}

// check reports missing and contradictory settings.
func (p *Process) check(root node) {
	if p.Entry && !p.Listen.Callers.IsValid() {
		root.problem("an entry instance has no address for callers", "listen: with callers:")
	}
	if len(p.ControlInstances)%2 == 0 {
		root.problem("the number of control instances is "+itoa(len(p.ControlInstances)),
			"an odd number, such as 3 or 5, so that one more may fail")
	}
	if p.Control && !p.listedAsControl() {
		root.problem("the instance has the role control, but control_instances does not list it with its address",
			"an entry with its name and its listen.instances address")
	}
	if p.Limits.OrganisationRequests > p.Limits.Requests {
		root.problem("one organisation may have more requests in progress than all together",
			"requests_of_one_organisation of at most requests")
	}
}

func (p *Process) listedAsControl() bool {
	for _, c := range p.ControlInstances {
		if c.Name == p.Instance {
			return c.Address == p.Listen.Instances
		}
	}
	return false
}
