package usage

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/carawaystile/carawaystile/internal/datagram"
	"github.com/carawaystile/carawaystile/internal/wait"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// reportPollInterval is the interval between two checks for reports that are due, and
	// idlePollInterval the same while there are no buckets.
	reportPollInterval = 25 * time.Millisecond
	idlePollInterval   = 250 * time.Millisecond
	// maxReportsPerDatagram keeps a message within one datagram.
	maxReportsPerDatagram = 12
)

// ServerOptions configures a Server.
type ServerOptions struct {
	Self tables.InstanceID
	Zone tables.Zone
	// BootEpoch tells apart the lives of the instance before and after a restart.
	BootEpoch uint64
	// EntriesByZone lists the live entry instances in each zone.
	EntriesByZone func() map[tables.Zone][]membership.EntryInstance
	// Send sends a datagram, which may be lost.
	Send func(to netip.AddrPort, message *rpc.UsageMessage)
	// Settling reports whether the instance knows too few others to own buckets; nil for never.
	Settling func() bool
	// SizesChanging reports whether some instances may choose owners by size while others do not;
	// nil for never.
	SizesChanging func() bool
	// Now reads a monotonic clock.
	Now func() tables.Instant
}

// Server serves the buckets that this instance owns to the entry instances of its zone, and
// exchanges reports with the owners in other zones. It is safe for concurrent use.
type Server struct {
	options ServerOptions

	mu    sync.Mutex
	owner *BucketOwner
	// addresses holds the last address of each instance that has sent a message.
	addresses map[tables.InstanceID]netip.AddrPort
}

// NewServer returns a server without buckets.
func NewServer(o ServerOptions) *Server {
	if o.Settling == nil {
		o.Settling = func() bool { return false }
	}
	if o.SizesChanging == nil {
		o.SizesChanging = func() bool { return false }
	}
	return &Server{
		options: o, owner: NewBucketOwner(o.Now(), o.Zone, o.BootEpoch),
		addresses: map[tables.InstanceID]netip.AddrPort{},
	}
}

// SetLimits replaces the configured limits.
func (s *Server) SetLimits(limits map[Subject]Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owner.SetLimits(limits)
}

// NoteEntriesLost records that entry instances in this zone are gone, and perhaps buckets
// that they owned.
func (s *Server) NoteEntriesLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owner.NoteOwnerLost(s.options.Now())
}

// EndSettling records that the instance knows the others now.
func (s *Server) EndSettling() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owner.EndSettling(s.options.Now())
}

// Debit replies to an entry instance in this zone, and notifies the instances whose leases
// it revokes because few tokens are left. While the server is settling it counts use and
// decides about no request, unless the limit is strict.
func (s *Server) Debit(by membership.Sender, d Debit) DebitReply {
	if d.Cost > 0 && !d.Limit.Strict && s.options.Settling() {
		return DebitReply{}
	}
	s.mu.Lock()
	s.addresses[by.Instance] = by.Address
	reply, revoked := s.owner.Debit(s.options.Now(), by.Instance, d)
	var notify []netip.AddrPort
	for _, holder := range revoked {
		notify = append(notify, s.addresses[holder])
	}
	s.mu.Unlock()
	for _, at := range notify {
		if at.IsValid() {
			s.options.Send(at, &rpc.UsageMessage{LeaseEnded: string(d.Subject)})
		}
	}
	return reply
}

// HandleReports merges reports of a peer owner.
func (s *Server) HandleReports(from membership.Sender, reports []*rpc.UsageReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addresses[from.Instance] = from.Address
	for _, report := range reports {
		s.owner.ApplyReport(s.options.Now(), from.Instance, decodeReport(report))
	}
}

// Run sends reports to peer owners until the context ends.
func (s *Server) Run(ctx context.Context) {
	for {
		pause := reportPollInterval
		if s.sendReports() {
			pause = idlePollInterval
		}
		if wait.For(ctx, pause) != nil {
			return
		}
	}
}

// sendReports sends the reports that are due. It returns true if there are no buckets.
func (s *Server) sendReports() (empty bool) {
	for at, reports := range s.dueReports() {
		for chunk := range slices.Chunk(reports, maxReportsPerDatagram) {
			s.options.Send(at, &rpc.UsageMessage{Reports: chunk})
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owner.Empty()
}

// dueReports groups the reports that are due by the address of the receiver.
func (s *Server) dueReports() map[netip.AddrPort][]*rpc.UsageReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	reports := s.owner.DueReports(s.options.Now())
	if len(reports) == 0 {
		return nil
	}
	zones := s.options.EntriesByZone()
	due := map[netip.AddrPort][]*rpc.UsageReport{}
	for _, report := range reports {
		for _, at := range s.receivers(report.Subject, zones) {
			due[at] = append(due[at], encodeReport(report))
		}
	}
	return due
}

// receivers returns the addresses of a subject's owners in all zones, and of the instances
// that have reported the subject to this one. While some instances may choose owners by size and
// others do not, they include both owners of each zone: these would not learn of each other
// otherwise, and each would admit the whole limit.
func (s *Server) receivers(id Subject, zones map[tables.Zone][]membership.EntryInstance) []netip.AddrPort {
	at := map[tables.InstanceID]netip.AddrPort{}
	changing := s.options.SizesChanging()
	for _, entries := range zones {
		if first, found := pickOwnerOf(id, entries); found {
			at[first.Instance] = first.Address
		}
		if !changing {
			continue
		}
		if first, found := datagram.PickRendezvous(subjectHash(id), entries, notExcluded); found {
			at[first.Instance] = first.Address
		}
		if first, found := datagram.PickBySize(subjectHash(id), entries, notExcluded); found {
			at[first.Instance] = first.Address
		}
	}
	for _, peer := range s.owner.Peers(id) {
		if _, named := at[peer]; !named && s.addresses[peer].IsValid() {
			at[peer] = s.addresses[peer]
		}
	}
	delete(at, s.options.Self)
	var all []netip.AddrPort
	for _, address := range at {
		all = append(all, address)
	}
	return all
}

// pickOwnerOf returns a subject's owner among the entry instances of a zone, by rendezvous
// hashing in proportion to their weights.
func pickOwnerOf(id Subject, entries []membership.EntryInstance) (membership.EntryInstance, bool) {
	return datagram.PickWeighted(subjectHash(id), entries, notExcluded)
}

func notExcluded(tables.InstanceID) bool { return false }

// OwnedLimits returns the number of limits in use that this instance owns in its zone.
func (s *Server) OwnedLimits() int {
	entries := s.options.EntriesByZone()[s.options.Zone]
	s.mu.Lock()
	subjects := s.owner.Subjects()
	s.mu.Unlock()
	count := 0
	for _, id := range subjects {
		if owner, found := pickOwnerOf(id, entries); found && owner.Instance == s.options.Self {
			count++
		}
	}
	return count
}
