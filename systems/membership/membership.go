// Package membership tells which instances are alive, by the SWIM protocol:
// each instance pings one other a period, asks a few others to ping it when no
// answer comes, suspects it next, and holds it for dead when it does not refute
// the suspicion in time. What is new rides on the pings. So the bytes that an
// instance sends in a second do not grow with the number of instances.
//
// The package is pure: datagrams and the clock go in, datagrams and news come
// out. A Membership is not safe for concurrent use.
package membership

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// Role says what an instance does; roles can be added.
type Role uint8

// The roles of an instance.
const (
	RoleEntry Role = 1 << iota
	RoleControl
)

// Roles adds up the roles of an instance.
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

// InstanceInfo describes an instance, as it says itself.
type InstanceInfo struct {
	Instance tables.InstanceID
	Zone     tables.Zone
	Roles    Role
	// Size weighs the instance against others.
	Size int
	// Address takes datagrams; Control serves the other instances over TCP.
	Address netip.AddrPort
	Control netip.AddrPort
	// Boot grows with every start of the instance.
	Boot uint64
	// Revision is in force at the instance since Since.
	Revision tables.Revision
	Since    time.Time
}

// State is what is believed of an instance.
type State uint8

// The states. Of two beliefs about one incarnation the later state wins.
const (
	Alive State = iota
	Suspect
	Dead
	Left
)

// String gives the state's name.
func (s State) String() string { return [...]string{"alive", "suspect", "dead", "left"}[s] }

// Member is an instance and what is believed of it.
type Member struct {
	InstanceInfo
	State State
	// Incarnation grows when the instance refutes a suspicion.
	Incarnation uint64
	// Leaving is set while the platform's list says that the instance leaves.
	Leaving bool
}

// member is a Member with what the detection needs.
type member struct {
	Member
	// stateChangedAt is when the state last stateChangedAt here.
	stateChangedAt tables.Instant
	// sendsLeft is how many more datagrams the row rides on.
	sendsLeft int
	// hash is that of the instance, for the choice among equals.
	hash uint64
	// withheld rows are doubts of an instance that doubts itself; they are told
	// to nobody but the member itself.
	withheld bool
}

// Config holds the times and bounds of the protocol. Zero values mean the
// defaults.
type Config struct {
	// ProbeInterval is the time between two probes; half a second is enough for the
	// direct answer, see ProbeTimeout.
	ProbeInterval time.Duration
	ProbeTimeout  time.Duration
	// IndirectProbes is how many others are asked to ping one that did not answer.
	IndirectProbes int
	// DeadRetention is how long dead instances are kept and tried again, so that zones
	// find each other after they were cut off.
	DeadRetention time.Duration
	// MaxDatagramBytes bounds one datagram.
	MaxDatagramBytes int
	// SyncBytesPerSecond bounds what is sent to joining instances; herds of them
	// are served in turn.
	SyncBytesPerSecond int
}

const (
	defaultProbeInterval      = time.Second
	defaultProbeTimeout       = 400 * time.Millisecond
	defaultIndirectProbes     = 3
	defaultDeadRetention      = time.Hour
	defaultMaxDatagramBytes   = 1180
	defaultSyncBytesPerSecond = 6000
	// syncBurstSeconds is how many seconds of SyncBytesPerSecond can be saved up.
	syncBurstSeconds = 4
	// antiEntropyRows is how many rows, in turn, ride along though they are not
	// new. They repair what was lost and bring revisions in force.
	antiEntropyRows = 5
	// pushFanout is how many others are told at once of a new revision.
	pushFanout = 4
	// isolationThreshold is the number of failed probes in a row, of different members,
	// after which an instance doubts itself and accuses nobody.
	isolationThreshold = 3
	// suspicionMultiplier times the logarithm of the group's size is how many periods
	// an instance has to refute a suspicion.
	suspicionMultiplier = 4
	// deadProbeInterval is the number of periods between two pings of a dead member.
	deadProbeInterval = 5
	// retransmitMultiplier times the logarithm of the group's size is how many datagrams
	// of each instance a new row rides on.
	retransmitMultiplier = 3
)

func (c *Config) setDefaults() {
	c.ProbeInterval = cmp.Or(c.ProbeInterval, defaultProbeInterval)
	c.ProbeTimeout = cmp.Or(c.ProbeTimeout, defaultProbeTimeout)
	c.IndirectProbes = cmp.Or(c.IndirectProbes, defaultIndirectProbes)
	c.DeadRetention = cmp.Or(c.DeadRetention, defaultDeadRetention)
	c.MaxDatagramBytes = cmp.Or(c.MaxDatagramBytes, defaultMaxDatagramBytes)
	c.SyncBytesPerSecond = cmp.Or(c.SyncBytesPerSecond, defaultSyncBytesPerSecond)
}

// Options sets a Membership up.
type Options struct {
	Self   InstanceInfo
	Config Config
	// Seeds are addresses to join through. They are tried as long as they are
	// not those of living members.
	Seeds      []netip.AddrPort
	RandomSeed uint64
	// UseSchedulers lets schedulers choose endpoints in groups beyond WideGroup.
	UseSchedulers bool
}

// Datagram is one to be sent.
type Datagram struct {
	To      netip.AddrPort
	Payload []byte
}

// Output is what came of one call.
type Output struct {
	Datagrams []Datagram
	// Hints are what another instance lets this one know.
	Hints Hints
	// ScheduleMessage is a message between an entry instance and a scheduler, and From who
	// sent it.
	ScheduleMessage *rpc.ScheduleMessage
	// UsageMessage is a message about organisations' usage, from the same.
	UsageMessage *rpc.UsageMessage
	From         Sender
	// NewerRevisionAt is set to the control address of an instance that has a newer
	// revision in force than this one.
	NewerRevisionAt netip.AddrPort
}

// Sender is who sent a datagram.
type Sender struct {
	Instance tables.InstanceID
	Address  netip.AddrPort
}

// Membership is one instance's view of all.
type Membership struct {
	config Config
	self   *member
	// configuredSeeds are the seeds of the options, seeds those and the listed ones.
	configuredSeeds []netip.AddrPort
	seeds           []netip.AddrPort
	random          *rand.Rand
	members         memberTable
	useSchedulers   bool
	// version grows whenever a state changes or a member comes or goes.
	version uint64

	detector failureDetector
	departed map[netip.AddrPort]bool
	leaving  map[netip.AddrPort]bool
	output   Output

	// antiEntropyCursor is where the turn of rows stands.
	antiEntropyCursor int
	// relayCursor counts the tellings to other zones; it starts differently at each
	// instance.
	relayCursor int
	syncTokens  float64
	lastTick    tables.Instant
	// now is the time of the newest call.
	now tables.Instant
}

// New returns the view of an instance that knows of nobody yet.
func New(options Options) *Membership {
	options.Config.setDefaults()
	self := &member{Member: Member{InstanceInfo: options.Self, Incarnation: 1}, hash: hashOf(options.Self.Instance)}
	return &Membership{
		config:          options.Config,
		self:            self,
		configuredSeeds: options.Seeds,
		seeds:           options.Seeds,
		random:          rand.New(rand.NewPCG(options.RandomSeed, options.Self.Boot)),
		members:         newMemberTable(self),
		useSchedulers:   options.UseSchedulers,
		detector:        newFailureDetector(),
		relayCursor:     int(options.RandomSeed % relayCursorRange),
	}
}

// Members returns all known instances, this one included, by name.
func (m *Membership) Members() []Member {
	members := make([]Member, 0, len(m.members.sorted))
	for _, row := range m.members.sorted {
		member := row.Member
		member.Leaving = m.leaving[row.Address]
		members = append(members, member)
	}
	return members
}

// Version grows whenever the set of living instances changes.
func (m *Membership) Version() uint64 { return m.version }

// LoadShare returns this instance's part of the load that living entry instances
// share by size, above 0 and at most 1.
func (m *Membership) LoadShare() float64 {
	all := 0
	for _, row := range m.members.sorted {
		if row.State <= Suspect && row.Roles&RoleEntry != 0 {
			all += max(1, row.Size)
		}
	}
	return float64(max(1, m.self.Size)) / float64(max(all, m.self.Size, 1))
}

// SetRevision notes which revision is in force here, and tells a few others at
// once: those that reach no control instance learn of it this way.
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

// Leave tells a few others that this instance ends, so that nobody has to find
// out.
func (m *Membership) Leave(now tables.Instant) Output {
	m.now = now
	m.self.State = Left
	m.self.sendsLeft = m.retransmitLimit()
	for _, to := range m.randomLiveMembers(pushFanout, m.self.Instance) {
		m.send(to.Address, datagramRows, 0)
	}
	return m.takeOutput()
}

// PlatformInstance is one line of the platform's list.
type PlatformInstance struct {
	Address netip.AddrPort
	Leaving bool
}

// SetPlatformList takes the platform's list as a hint: it may be old. Instances in
// it that are not known are tried. One that is suspect and that the list does
// not have, or has as leaving, is held for dead without further waiting.
func (m *Membership) SetPlatformList(list []PlatformInstance) {
	m.departed, m.leaving = map[netip.AddrPort]bool{}, map[netip.AddrPort]bool{}
	// Seeds of earlier lists are dropped: instances are replaced every day, and
	// their former addresses would pile up.
	m.seeds = slices.Clone(m.configuredSeeds)
	listed := map[netip.AddrPort]bool{}
	for _, line := range list {
		listed[line.Address] = true
		m.leaving[line.Address] = line.Leaving
		if !slices.Contains(m.seeds, line.Address) {
			m.seeds = append(m.seeds, line.Address)
		}
	}
	m.seeds = slices.DeleteFunc(m.seeds, func(seed netip.AddrPort) bool { return m.leaving[seed] })
	for _, row := range m.members.sorted {
		if !listed[row.Address] || m.leaving[row.Address] {
			m.departed[row.Address] = true
		}
	}
}

// takeOutput returns what has come together since the last call.
func (m *Membership) takeOutput() Output {
	out := m.output
	m.output = Output{}
	return out
}

// logLiveCount is the logarithm that times and repetitions grow with.
func (m *Membership) logLiveCount() int { return int(math.Ceil(math.Log2(float64(m.liveCount() + 1)))) }

func (m *Membership) retransmitLimit() int { return retransmitMultiplier * m.logLiveCount() }

// suspicionTimeout is how long a member has to refute a suspicion.
func (m *Membership) suspicionTimeout() time.Duration {
	factor := max(1, math.Log10(float64(m.liveCount())))
	return time.Duration(suspicionMultiplier * factor * float64(m.config.ProbeInterval))
}

// randomLiveMembers returns up to n living members at random, without this one and except.
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
