package permits

import (
	"slices"
	"sync"
	"time"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// expiryGrace is how long after an attempt's deadline its permit expires.
	expiryGrace = 500 * time.Millisecond
	// sweepInterval is the interval between two removals of expired permits.
	sweepInterval = 500 * time.Millisecond
	// While another instance may have granted permits for an endpoint, its owner does not know all
	// of them. settleTime is for how long it grants none then, until reports show the others, and
	// reportedTime for how long it goes by the reported load too.
	settleTime   = 250 * time.Millisecond
	reportedTime = 2 * time.Second
	// soleAskerTime is after which time without a request of another instance the owner takes
	// itself to be partitioned from the others, which then ask another owner.
	soleAskerTime = 300 * time.Millisecond
	// rejectionMemory is how long a rejection by an endpoint lowers its limit by one: it has less
	// room than it announced.
	rejectionMemory = 2 * time.Second
)

// Occupancy is the room of an endpoint.
type Occupancy struct {
	// Slots is how many attempts the endpoint runs concurrently; 0 if that is not known.
	Slots int
	// Reported is how many attempts it has by the reports of all instances.
	Reported int
}

// key identifies a permit by the instance that asked and the number of its request.
type key struct {
	instance tables.InstanceID
	number   uint64
}

// Server grants permits for the endpoints that this instance owns. It is safe for concurrent use.
type Server struct {
	self tables.InstanceID
	// occupancy returns the room of an endpoint; known is false for one that is not listed.
	occupancy func(tables.EndpointID) (room Occupancy, known bool)
	now       func() tables.Instant

	mu        sync.Mutex
	endpoints map[tables.EndpointID]*semaphore
	sweptAt   tables.Instant
	// members are the entry instances, one of which owns each endpoint.
	members          []tables.InstanceID
	membersChangedAt tables.Instant
	// ownersChangedAt is when NoteOwnersChanged was called last.
	ownersChangedAt tables.Instant
}

// semaphore holds the permits of one endpoint.
type semaphore struct {
	// settledAt and knownAt are the ends of settleTime and of reportedTime.
	settledAt, knownAt tables.Instant
	// sharedUntil is until when an unresponsive owner may grant permits too.
	sharedUntil tables.Instant
	// askedByOtherAt is when an instance other than the owner asked last.
	askedByOtherAt tables.Instant
	expiries       map[key]tables.Instant
	// rejectedAt holds the times of recent rejections by the endpoint.
	rejectedAt []tables.Instant
}

// NewServer returns the server of an instance, without permits; now reads a monotonic clock.
func NewServer(self tables.InstanceID, occupancy func(tables.EndpointID) (Occupancy, bool), now func() tables.Instant) *Server {
	return &Server{self: self, membersChangedAt: now() - reportedTime, ownersChangedAt: now() - reportedTime, occupancy: occupancy, now: now, endpoints: map[tables.EndpointID]*semaphore{}}
}

// SetMembers sets the entry instances, one of which owns each endpoint. When they change, endpoints
// get other owners.
func (s *Server) SetMembers(members []tables.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(s.members, members) {
		return
	}
	s.members, s.membersChangedAt = slices.Clone(members), s.now()
}

// NoteOwnersChanged records that endpoints have got other owners though the entry instances are the
// same. Some instances may learn of the change later and ask the owners before until then.
func (s *Server) NoteOwnersChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.membersChangedAt, s.ownersChangedAt = now, now
	for _, e := range s.endpoints {
		e.recordOtherOwner(now)
	}
}

// ownersChangedRecently reports whether owners before the last NoteOwnersChanged may have granted
// permits that reports do not show yet. It is false for a nil server.
func (s *Server) ownersChangedRecently(now tables.Instant) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return now-s.ownersChangedAt < reportedTime
}

// Request decides about a permit. A request that arrives twice gets the same permit.
func (s *Server) Request(by tables.InstanceID, number uint64, in *rpc.PermitRequest) *rpc.PermitAnswer {
	id := tables.EndpointID(in.GetEndpoint())
	room, known := s.occupancy(id)
	if !known {
		return &rpc.PermitAnswer{}
	}
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired(now)
	e := s.endpoints[id]
	if e == nil {
		e = &semaphore{expiries: map[key]tables.Instant{}, askedByOtherAt: now}
		e.recordOtherOwner(s.membersChangedAt)
		s.endpoints[id] = e
	}
	if in.GetOtherOwner() {
		e.recordOtherOwner(now)
		e.sharedUntil = now + reportedTime
	}
	if by != s.self {
		e.askedByOtherAt = now
	}
	k := key{instance: by, number: number}
	if _, granted := e.expiries[k]; !granted && !e.hasRoom(now, room) {
		return &rpc.PermitAnswer{Ready: true}
	}
	e.expiries[k] = now + time.Duration(in.GetLeftMs())*time.Millisecond + expiryGrace
	return &rpc.PermitAnswer{Ready: true, Granted: true}
}

// recordOtherOwner records that another instance may have granted permits until the given time.
func (e *semaphore) recordOtherOwner(until tables.Instant) {
	if until > e.knownAt {
		e.settledAt = until + settleTime
	}
	e.knownAt = max(e.knownAt, until+reportedTime)
}

// hasRoom reports whether there may be another permit. An owner that is partitioned from the other
// instances, and the one that they ask instead, have half of the slots each.
func (e *semaphore) hasRoom(now tables.Instant, room Occupancy) bool {
	if room.Slots == 0 {
		return true
	}
	if now < e.settledAt {
		return false
	}
	recent := 0
	for _, at := range e.rejectedAt {
		if now-at < rejectionMemory {
			recent++
		}
	}
	used, limit := len(e.expiries), room.Slots
	alone := now-e.askedByOtherAt > soleAskerTime
	if recent > 0 || now < e.knownAt || alone {
		// Reports may be late, so they do not count for longer than needed.
		used = max(used, room.Reported)
	}
	if alone || now < e.sharedUntil {
		limit /= 2
	}
	return used < max(1, limit-recent)
}

// Release returns a permit, which an instance that gave up waiting for the answer names by its
// number alone. Releases are repeated; those of unknown permits are ignored.
func (s *Server) Release(by tables.InstanceID, number uint64, in *rpc.PermitRelease) {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{instance: by, number: number}
	for id, e := range s.endpoints {
		if _, held := e.expiries[k]; !held || in.GetEndpoint() != "" && id != tables.EndpointID(in.GetEndpoint()) {
			continue
		}
		delete(e.expiries, k)
		if in.GetRejected() {
			e.rejectedAt = append(e.rejectedAt, now)
		}
	}
}

// removeExpired removes permits and rejections that have expired. The caller holds mu.
func (s *Server) removeExpired(now tables.Instant) {
	if now-s.sweptAt < sweepInterval {
		return
	}
	s.sweptAt = now
	for id, e := range s.endpoints {
		for k, expiry := range e.expiries {
			if now >= expiry {
				delete(e.expiries, k)
			}
		}
		for len(e.rejectedAt) > 0 && now-e.rejectedAt[0] >= rejectionMemory {
			e.rejectedAt = e.rejectedAt[1:]
		}
		if len(e.expiries) == 0 && len(e.rejectedAt) == 0 {
			delete(s.endpoints, id)
		}
	}
}
