package state

import (
	"maps"
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/rpc"
)

// sessionTable is a failure detector: it holds when each process that owns
// claims was last heard from. It only determines how soon a claim can be taken
// over and what a resent request is told. At-most-once execution depends on
// fencing tokens alone.
type sessionTable struct {
	limits Limits
	rows   map[string]session
}

// session is the liveness record of an instance: its newest process and when
// that was last heard from.
type session struct {
	boot     uint64
	lastSeen time.Duration
}

func newSessionTable(limits Limits) sessionTable {
	return sessionTable{limits: limits, rows: map[string]session{}}
}

// recordHeartbeat records that a process is alive. A delayed message from an
// earlier process of the instance is ignored.
func (s *sessionTable) recordHeartbeat(now time.Duration, from processID) {
	row, known := s.rows[from.instance]
	if known && from.boot < row.boot {
		return
	}
	if !known && len(s.rows) >= sessionSweepThreshold {
		maps.DeleteFunc(s.rows, func(_ string, old session) bool {
			return now-old.lastSeen >= s.limits.ClaimRetention
		})
	}
	s.rows[from.instance] = session{boot: from.boot, lastSeen: now}
}

// timeUntilLost returns how long it takes until a process counts as lost. It is
// zero if the process is unknown, has timed out, or was replaced by a newer one
// of its instance.
func (s *sessionTable) timeUntilLost(now time.Duration, process processID) time.Duration {
	row, known := s.rows[process.instance]
	if !known || row.boot > process.boot {
		return 0
	}
	return max(0, row.lastSeen+s.limits.SessionTimeout-now)
}

// keepAlive applies a heartbeat of a process that owns claims.
func (c *claimTable) keepAlive(now time.Duration, request *rpc.KeepAlive) *rpc.Result {
	from := processID{request.GetOwner().GetInstance(), request.GetOwner().GetBoot()}
	if from.instance == "" || len(from.instance) > maxNameBytes {
		return refused(rpc.RefusalReason_REFUSED_MALFORMED)
	}
	c.sessions.recordHeartbeat(now, from)
	return done()
}

func (s *sessionTable) save(snapshot *rpc.Snapshot) {
	for _, instance := range slices.Sorted(maps.Keys(s.rows)) {
		row := s.rows[instance]
		snapshot.Sessions = append(snapshot.Sessions, &rpc.SessionRow{
			Instance: instance,
			Boot:     row.boot,
			Seen:     int64(row.lastSeen),
		})
	}
}

func (s *sessionTable) restore(snapshot *rpc.Snapshot) {
	for _, saved := range snapshot.GetSessions() {
		s.rows[saved.GetInstance()] = session{
			boot:     saved.GetBoot(),
			lastSeen: time.Duration(saved.GetSeen()),
		}
	}
}
