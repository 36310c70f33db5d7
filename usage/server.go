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
	// reportPollInterval is the time between two looks for reports that are due, and idleCheck
	// the same while there are no accounts.
	reportPollInterval = 25 * time.Millisecond
	idlePollInterval   = 250 * time.Millisecond
	// maxReportsPerDatagram keeps a message within a datagram.
	maxReportsPerDatagram = 12
)

// ServerOptions set a Server up.
type ServerOptions struct {
	Self tables.InstanceID
	Zone tables.Zone
	// BootEpoch tells lives of the instance apart.
	BootEpoch uint64
	// EntriesByZone lists the living entry instances of each zone.
	EntriesByZone func() map[tables.Zone][]membership.EntryInstance
	Send          func(to netip.AddrPort, message *rpc.UsageMessage)
	// Now is a monotonic clock.
	Now func() tables.Instant
}

// Server keeps accounts for the entry instances of its zone. It is safe for concurrent
// use.
type Server struct {
	options ServerOptions

	mu    sync.Mutex
	owner *BucketOwner
	// addresses are those of instances that have sent something.
	addresses map[tables.InstanceID]netip.AddrPort
}

// NewServer returns a server without accounts.
func NewServer(o ServerOptions) *Server {
	return &Server{
		options: o, owner: NewBucketOwner(o.Now(), o.Zone, o.BootEpoch),
		addresses: map[tables.InstanceID]netip.AddrPort{},
	}
}

// SetLimits puts limits in force.
func (s *Server) SetLimits(limits map[Subject]Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owner.SetLimits(limits)
}

// NoteEntriesLost notes that entry instances of the zone are gone.
func (s *Server) NoteEntriesLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owner.NoteOwnerLost(s.options.Now())
}

// Debit answers an entry instance of the zone, and ends the leases of others if little is
// left.
func (s *Server) Debit(by membership.Sender, d Debit) DebitReply {
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

// HandleReports takes another accountant's reports.
func (s *Server) HandleReports(from membership.Sender, reports []*rpc.UsageReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addresses[from.Instance] = from.Address
	for _, report := range reports {
		s.owner.ApplyReport(s.options.Now(), from.Instance, decodeReport(report))
	}
}

// Run sends reports to other accountants until the context ends.
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

// sendReports sends the reports that are due, and says whether there are no accounts.
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

// dueReports lists the reports that are dueReports, by receiver.
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

// receivers are the accountants of a subject in all zones, and those that have
// reported of it.
func (s *Server) receivers(id Subject, zones map[tables.Zone][]membership.EntryInstance) []netip.AddrPort {
	at := map[tables.InstanceID]netip.AddrPort{}
	for _, entries := range zones {
		if first, found := pickOwnerOf(id, entries); found {
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

// pickOwnerOf picks a subject's accountant among entry instances.
func pickOwnerOf(id Subject, entries []membership.EntryInstance) (membership.EntryInstance, bool) {
	return datagram.Pick(subjectHash(id), entries, func(tables.InstanceID) bool { return false })
}
