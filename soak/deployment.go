package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/carawaystile/carawaystile/platform/platformtest"
	"github.com/carawaystile/carawaystile/tables"
)

// Ports of an instance, on an IP number of its own. The advertised one is the
// proxy's, the real one the process's.
const (
	portCallers    = 8080
	portReady      = 8081
	portOperators  = 8082
	portMetrics    = 8083
	portAdvertised = 7340
	portReal       = 7341
	// portEndpoint is where the proxy of an endpoint takes connections,
	// portBehind where the endpoint does.
	portEndpoint = 9000
	portBehind   = 9001
)

// Hosts on the subnet of a run.
const (
	hostInstances = 1
	hostEndpoints = 100
	hostStore     = 250
	hostList      = 251
	hostHeld      = 252
)

const (
	zones = 3
	// logSuffix ends the names of the files of the replicated log.
	logSuffix = ".seg"
	// grace is how long a process may take to end when it is told to.
	grace = 12 * time.Second
	model = "m"
	// memoryMB is the memory of an instance in MB.
	memoryMB = 120
	// What is allowed to be sent a second time, over all instances, in any
	// retryWindow: a part of the requests, and retryExtra.
	retryRatio  = 0.2
	retryExtra  = 60
	retryWindow = 10 * time.Second
)

// instance is a process of the system with what is known of it.
type instance struct {
	*Process
	ip      netip.Addr
	zone    int
	control bool
}

func (i *instance) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(i.ip, port) }

// deployment is the whole system under test with what stands around it.
type deployment struct {
	options Options
	subnet  string
	held    net.Listener
	network *Network
	fleet   *platformtest.Fleet
	ledger  *ledger

	controls, entries []*instance
	// writing is held while a settings file is written: faults that restart and
	// that reload may strike the same instance.
	writing sync.Mutex
	// places numbers the endpoints' IP numbers; rng draws for endpoints.
	places *places
	zoneOf map[netip.Addr]int
}

// freeSubnet finds 256 loopback addresses that no other run uses, and holds
// them until the listener is closed.
func freeSubnet(seed uint64) (string, net.Listener, error) {
	rng := rand.New(rand.NewPCG(seed, uint64(os.Getpid())))
	for range 500 {
		subnet := fmt.Sprintf("127.%d.%d", 100+rng.IntN(100), rng.IntN(250))
		held, err := net.Listen("tcp", fmt.Sprintf("%s.%d:9", subnet, hostHeld))
		if err == nil {
			return subnet, held, nil
		}
	}
	return "", nil, os.ErrExist
}

func (d *deployment) ip(host int) netip.Addr {
	return netip.MustParseAddr(fmt.Sprintf("%s.%d", d.subnet, host))
}

// newDeployment starts everything that stands around the system and writes the
// settings of its processes.
func newDeployment(o Options) (*deployment, error) {
	subnet, held, err := freeSubnet(o.Seed)
	if err != nil {
		return nil, err
	}
	d := &deployment{
		options: o, subnet: subnet, held: held, network: NewNetwork(o.Seed),
		fleet: platformtest.NewFleet(), ledger: newLedger(), zoneOf: map[netip.Addr]int{},
	}
	d.fleet.OnOrder = d.ledger.ordered
	d.places = newPlaces(d)
	if err := d.startAround(); err != nil {
		d.close()
		return nil, err
	}
	for n := range o.Controls + o.Entries {
		if err := d.addInstance(n); err != nil {
			d.close()
			return nil, err
		}
	}
	return d, nil
}

// startAround starts the list, the store and the endpoints.
func (d *deployment) startAround() error {
	list, store := d.ip(hostList), d.ip(hostStore)
	if err := d.fleet.ServeList(netip.AddrPortFrom(list, portBehind)); err != nil {
		return err
	}
	if err := d.network.Carry(netip.AddrPortFrom(list, portEndpoint), netip.AddrPortFrom(list, portBehind)); err != nil {
		return err
	}
	if err := d.fleet.AddStore(netip.AddrPortFrom(store, portBehind), netip.AddrPortFrom(store, portEndpoint)); err != nil {
		return err
	}
	if err := d.network.Carry(netip.AddrPortFrom(store, portEndpoint), netip.AddrPortFrom(store, portBehind)); err != nil {
		return err
	}
	return d.places.fill()
}

// addInstance writes the settings of instance n and starts its proxies. The
// first ones have the control role.
func (d *deployment) addInstance(n int) error {
	control := n < d.options.Controls
	role := "entry"
	if control {
		role = "control"
	}
	name := fmt.Sprintf("%s-%d", role, n)
	folder := d.options.Folder
	i := &instance{ip: d.ip(hostInstances + n), zone: n % zones, control: control}
	i.Process = &Process{
		Name: name, binary: d.options.Daemon,
		settings: filepath.Join(folder, name+".yaml"), output: filepath.Join(folder, name+".log"),
	}
	d.zoneOf[i.ip] = i.zone
	if control {
		i.data = filepath.Join(folder, name+".data")
		if err := os.MkdirAll(i.data, 0o700); err != nil {
			return err
		}
		d.controls = append(d.controls, i)
	} else {
		d.entries = append(d.entries, i)
	}
	if err := d.network.Carry(i.at(portAdvertised), i.at(portReal)); err != nil {
		return err
	}
	if err := d.network.CarryDatagrams(i.at(portAdvertised), i.at(portReal)); err != nil {
		return err
	}
	return d.writeSettings(i, true)
}

// writeSettings writes the settings file of an instance. Only a first start may
// found the control group.
func (d *deployment) writeSettings(i *instance, first bool) error {
	var b strings.Builder
	d.writing.Lock()
	defer d.writing.Unlock()
	role, listen := "entry", fmt.Sprintf("  callers: %q\n  ready: %q\n", i.at(portCallers), i.at(portReady))
	if i.control {
		role = "control"
		listen = fmt.Sprintf("  operators: %q\n", i.at(portOperators))
		fmt.Fprintf(&b, "data: %q\n", i.data)
	}
	fmt.Fprintf(&b, "instance: %s\nzone: z%d\nroles: [%s]\nnew_deployment: %v\nsource: %q\n", i.Name, i.zone, role, first, i.ip)
	fmt.Fprintf(&b, "listen:\n%s  instances: %q\n  membership: %q\n  metrics: %q\n",
		listen, i.at(portReal), i.at(portReal), i.at(portMetrics))
	fmt.Fprintf(&b, "advertise:\n  instances: %q\n  membership: %q\n", i.at(portAdvertised), i.at(portAdvertised))
	b.WriteString("seeds:\n")
	for n := range min(d.options.Controls, 3) {
		fmt.Fprintf(&b, "  - %q\n", netip.AddrPortFrom(d.ip(hostInstances+n), portOperators))
	}
	fmt.Fprintf(&b, "tolerate_instances: %d\nmemory_mb: %d\nplatform_list: %q\n",
		(d.options.Controls-1)/2, memoryMB, netip.AddrPortFrom(d.ip(hostList), portEndpoint))
	b.WriteString("orders:\n  lease: 3s\n  fenced: true\n  weights_timeout: 8s\n")
	fmt.Fprintf(&b, "retries:\n  ratio: %v\n  extra: %d\n  window: %v\n", retryRatio, retryExtra, retryWindow)
	fmt.Fprintf(&b, "usage:\n  overage: %v\n  slack: %d\n", usageOverage, usageSlack)
	if d.options.Capacity {
		b.WriteString("capacity: {admission: on, stream_pauses: on, backups: on}\n")
	}
	fmt.Fprintf(&b, "drain:\n  announce: 1s\n  timeout: %v\n", drainLimit)
	// A settings file is replaced whole: a process may read it at any moment.
	temp := i.settings + ".new"
	if err := os.WriteFile(temp, []byte(b.String()), 0o600); err != nil {
		return err
	}
	return os.Rename(temp, i.settings)
}

// instances lists all processes of the system.
func (d *deployment) instances() []*instance {
	return append(append([]*instance{}, d.controls...), d.entries...)
}

// start starts an instance that ran before, or never.
func (d *deployment) start(i *instance) error {
	if life, _ := i.Life(); life > 0 {
		if err := d.writeSettings(i, false); err != nil {
			return err
		}
	}
	return i.Start()
}

func (d *deployment) close() {
	for _, i := range d.instances() {
		i.Resume()
		i.Kill()
	}
	d.fleet.Close()
	d.network.Close()
	_ = d.held.Close()
}

// zoneName is the availability zone with a number.
func zoneName(n int) tables.Zone { return tables.Zone(fmt.Sprintf("z%d", n)) }
