// Package membership implements the SWIM protocol for group membership and failure
// detection. In each protocol period an instance pings one member. If no
// acknowledgement arrives, it asks a few others to ping that member, then suspects
// it, and declares it dead unless the member refutes the suspicion in time. Updates
// are piggybacked on the pings, so that the bytes that an instance sends per second
// do not grow with the number of instances.
//
// The package is a pure state machine: datagrams and clock readings go in,
// datagrams and events come out. A Membership is not safe for concurrent use.
package membership

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// Role is a bit set of the functions of an instance. Roles can be added.
type Role uint8

// The roles of an instance.
const (
	RoleEntry Role = 1 << iota
	RoleControl
	// RoleSizes marks an entry instance that divides common work by size. Sizes count once all
	// live entry instances have it.
	RoleSizes
)

// Roles returns the bit set of an instance's roles.
func Roles(entry, control bool) Role {
	var roles Role
	if entry {
		roles |= RoleEntry
	}
	if control {
		roles |= RoleControl
	}
	return roles
}

// InstanceInfo is the metadata that an instance publishes about itself.
type InstanceInfo struct {
	Instance tables.InstanceID
	Zone     tables.Zone
	Roles    Role
	// Size is the weight of the instance relative to the others.
	Size int
	// Address receives datagrams; Control serves the other instances over TCP.
	Address netip.AddrPort
	Control netip.AddrPort
	// Boot increases with every start of the instance.
	Boot uint64
	// Revision is the configuration revision in force at the instance, Since the
	// time from which it has been.
	Revision tables.Revision
	Since    time.Time
	// Loaded is set while the instance is near the limit of its processor, link or memory.
	Loaded bool
}

// State is the liveness state of a member.
type State uint8

// The states. Of two reports about the same incarnation the later state wins.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// String returns the name of the state.
func (s State) String() string { return [...]string{"alive", "suspect", "dead", "left"}[s] }

// Member is an instance and its liveness state in the view of this instance.
type Member struct {
	InstanceInfo
	State State
	// Incarnation is the SWIM incarnation number: the instance increases it to
	// refute a suspicion.
	Incarnation uint64
	// Leaving is set while the platform's list says that the instance is leaving.
	Leaving bool
}

// member is a Member with the bookkeeping of the protocol.
type member struct {
	Member
	// stateChangedAt is the time of the last state change in this view.
	stateChangedAt tables.Instant
	// sendsLeft is how many more datagrams carry the row as an update.
	sendsLeft int
	// hash is the hash of the instance ID. It breaks ties in the election of
	// schedulers.
	hash uint64
	// discoverySends is how many datagrams of fast discovery have carried the row.
	discoverySends int
	// withheld marks a suspicion raised while this instance is likely isolated. It
	// is sent to no instance but the suspected one.
	withheld bool
}

// Config holds the times and limits of the protocol. Zero fields take the defaults.
type Config struct {
	// ProbeInterval is the SWIM protocol period, the time between two probes. Half
	// a second suffices for the direct acknowledgement, see ProbeTimeout.
	ProbeInterval time.Duration
	ProbeTimeout  time.Duration
	// IndirectProbes is how many other members are asked to ping a member that did
	// not acknowledge.
	IndirectProbes int
	// DeadRetention is how long dead members are kept and pinged now and then, so
	// that zones rejoin after a network partition.
	DeadRetention time.Duration
	// MaxDatagramBytes is the maximum size of a datagram.
	MaxDatagramBytes int
	// SyncBytesPerSecond limits the rate of full-state transfers to joining
	// instances. When many instances join at once, they are served in turn.
	SyncBytesPerSecond int
}

const (
	defaultProbeInterval      = time.Second
	defaultProbeTimeout       = 400 * time.Millisecond
	defaultIndirectProbes     = 3
	defaultDeadRetention      = time.Hour
	defaultMaxDatagramBytes   = 1180
	defaultSyncBytesPerSecond = 6000
	// syncBurstSeconds is the capacity of the token bucket for full-state
	// transfers, in seconds of SyncBytesPerSecond.
	syncBurstSeconds = 4
	// antiEntropyRows is how many unchanged rows a datagram carries, in round-robin
	// order. They repair lost updates and spread the revisions in force.
	antiEntropyRows = 5
	// pushFanout is how many members are told at once of a new revision or of a
	// leave.
	pushFanout = 4
	// isolationThreshold is the number of consecutive failed probes, of different
	// members, after which an instance considers itself isolated and spreads no
	// suspicions.
	isolationThreshold = 3
	// suspicionMultiplier times the decimal logarithm of the group size is the
	// suspicion timeout, in protocol periods.
	suspicionMultiplier = 4
	// deadProbeInterval is the number of protocol periods between two pings of a
	// dead member.
	deadProbeInterval = 5
	// discoveryPeriod is the time after the start during which an instance asks a member for
	// its rows every discoveryInterval, until it has learned of none for discoveryQuiet.
	discoveryPeriod   = 3 * time.Second
	discoveryInterval = 100 * time.Millisecond
	discoveryQuiet    = time.Second
	// retransmitMultiplier times the binary logarithm of the group size is how many
	// datagrams of each instance carry an update.
	retransmitMultiplier = 3
)

// setDefaults replaces zero fields by the defaults.
func (c *Config) setDefaults() {
	c.ProbeInterval = cmp.Or(c.ProbeInterval, defaultProbeInterval)
	c.ProbeTimeout = cmp.Or(c.ProbeTimeout, defaultProbeTimeout)
	c.IndirectProbes = cmp.Or(c.IndirectProbes, defaultIndirectProbes)
	c.DeadRetention = cmp.Or(c.DeadRetention, defaultDeadRetention)
	c.MaxDatagramBytes = cmp.Or(c.MaxDatagramBytes, defaultMaxDatagramBytes)
	c.SyncBytesPerSecond = cmp.Or(c.SyncBytesPerSecond, defaultSyncBytesPerSecond)
}

// Options configures a Membership.
type Options struct {
	Self   InstanceInfo
	Config Config
	// Seeds are addresses to join through. They are pinged unless a living member
	// has the address.
	Seeds []netip.AddrPort
	// RandomSeed seeds the order of probes and the choice of members and relays.
	RandomSeed uint64
	// UseSchedulers lets schedulers choose endpoints in groups of more than
	// FullMeshLimit entry instances.
	UseSchedulers bool
	// UseSizes divides common work by size: this instance publishes RoleSizes, and weighs
	// entry instances by their sizes once all of them publish it.
	UseSizes bool
	// FastDiscovery shortens the time in which instances that start at once learn of each other.
	// The caller calls Discover then.
	FastDiscovery bool
}

// Datagram is a datagram for the caller to send.
type Datagram struct {
	To      netip.AddrPort
	Payload []byte
}

// Output is the result of a call: datagrams to send, and events for the caller.
type Output struct {
	Datagrams []Datagram
	// Hints are the hints received from another instance.
	Hints Hints
	// ScheduleMessage is a message between an entry instance and a scheduler, sent
	// by From.
	ScheduleMessage *rpc.ScheduleMessage
	// UsageMessage is a message about organisations' usage, sent by From.
	UsageMessage *rpc.UsageMessage
	// StreamOrigins are origins of streams, sent by From.
	StreamOrigins *rpc.StreamOrigins
	From          Sender
	// NewerRevisionAt is the control address of an instance with a newer revision
	// in force than at this one; it is invalid if there is none.
	NewerRevisionAt netip.AddrPort
}

// Sender identifies the sender of a datagram.
type Sender struct {
	Instance tables.InstanceID
	Address  netip.AddrPort
}

// Membership is one instance's view of the group.
type Membership struct {
	config Config
	self   *member
	// configuredSeeds are the seeds of the Options, seeds those and the instances
	// on the platform's list.
	configuredSeeds []netip.AddrPort
	seeds           []netip.AddrPort
	random          *rand.Rand
	members         memberTable
	useSchedulers   bool
	useSizes        bool
	// version increases whenever a state changes or a member is added or removed.
	version uint64

	detector failureDetector
	// departed holds the addresses of members that the platform's list lacks or
	// marks as leaving, leaving those of its entries with their mark.
	departed map[netip.AddrPort]bool
	leaving  map[netip.AddrPort]bool
	output   Output

	// antiEntropyCursor is the round-robin position of addAntiEntropy.
	antiEntropyCursor int
	// relayCursor is the round-robin position of nextRelays. It starts at a
	// different value at each instance.
	relayCursor int
	// syncTokens is the level of the token bucket for full-state transfers, in
	// bytes.
	syncTokens float64
	// nextDiscovery is when a member is asked for its rows next.
	nextDiscovery tables.Instant
	// lastDiscovered is when a member was learned of last.
	lastDiscovered tables.Instant
	// discoveryRandom chooses these members. A source of its own leaves the sequence of probes
	// as it is without discovery.
	discoveryRandom *rand.Rand
	fast            fastDiscovery
	lastTick        tables.Instant
	// now is the time of the most recent call.
	now tables.Instant
}

// New returns the view of an instance that knows no other instance yet.
func New(options Options) *Membership {
	options.Config.setDefaults()
	if options.UseSizes {
		options.Self.Roles |= RoleSizes
	}
	self := &member{Member: Member{InstanceInfo: options.Self, Incarnation: 1}, hash: hashOf(options.Self.Instance)}
	return &Membership{
		config:          options.Config,
		self:            self,
		configuredSeeds: options.Seeds,
		seeds:           options.Seeds,
		random:          rand.New(rand.NewPCG(options.RandomSeed, options.Self.Boot)),
		discoveryRandom: rand.New(rand.NewPCG(options.Self.Boot, options.RandomSeed)),
		members:         newMemberTable(self),
		useSchedulers:   options.UseSchedulers,
		useSizes:        options.UseSizes,
		fast:            fastDiscovery{enabled: options.FastDiscovery},
		detector:        newFailureDetector(),
		relayCursor:     int(options.RandomSeed % relayCursorRange),
	}
}

// Members returns all known instances in order of their IDs, this one included.
func (m *Membership) Members() []Member {
	members := make([]Member, 0, len(m.members.sorted))
	for _, row := range m.members.sorted {
		member := row.Member
		member.Leaving = m.leaving[row.Address]
		members = append(members, member)
	}
	return members
}

// Version returns a number that increases whenever a state changes or a member is
// added or removed.
func (m *Membership) Version() uint64 { return m.version }

// LoadShare returns this instance's share, above 0 and at most 1, of the load that
// is divided among living entry instances in proportion to their size.
func (m *Membership) LoadShare() float64 {
	all := 0
	for _, row := range m.members.sorted {
		if row.State <= Suspect && row.Roles&RoleEntry != 0 {
			all += max(1, row.Size)
		}
	}
	return float64(max(1, m.self.Size)) / float64(max(all, m.self.Size, 1))
}

// SetRevision records the revision in force at this instance and pushes it to a few
// other members. Instances that reach no control instance learn of it this way.
func (m *Membership) SetRevision(now tables.Instant, revision tables.Revision, since time.Time) Output {
	if revision <= m.self.Revision {
		return Output{}
	}
	m.now = now
	m.self.Revision, m.self.Since = revision, since
	for _, to := range m.randomLiveMembers(pushFanout, m.self.Instance) {
		m.send(to.Address, datagramRows, 0)
	}
	return m.takeOutput()
}

// Leave marks this instance as left and pushes this to a few other members, so that
// they need not detect it as a failure.
func (m *Membership) Leave(now tables.Instant) Output {
	m.now = now
	m.self.State = Left
	m.self.sendsLeft = m.retransmitLimit()
	for _, to := range m.randomLiveMembers(pushFanout, m.self.Instance) {
		m.send(to.Address, datagramRows, 0)
	}
	return m.takeOutput()
}

// takeOutput returns the output collected since the last call.
func (m *Membership) takeOutput() Output {
	out := m.output
	m.output = Output{}
	return out
}

// logLiveCount returns the binary logarithm of the number of living members,
// rounded up.
func (m *Membership) logLiveCount() int { return int(math.Ceil(math.Log2(float64(m.liveCount() + 1)))) }

// retransmitLimit returns how many datagrams carry an update.
func (m *Membership) retransmitLimit() int { return retransmitMultiplier * m.logLiveCount() }

// suspicionTimeout returns how long a member has to refute a suspicion.
func (m *Membership) suspicionTimeout() time.Duration {
	factor := max(1, math.Log10(float64(m.liveCount())))
	return time.Duration(suspicionMultiplier * factor * float64(m.config.ProbeInterval))
}

// randomLiveMembers returns up to n living members in random order, without this
// instance and the instance except.
func (m *Membership) randomLiveMembers(n int, except tables.InstanceID) []*member {
	var all []*member
	for _, row := range m.members.sorted {
		if row != m.self && row.Instance != except && row.State <= Suspect {
			all = append(all, row)
		}
	}
	m.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}
