package state

import (
	"maps"
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/rpc"
)

// sessions is which processes own claims and when each was last heard of. It
// only decides how soon a claim may be taken over and what a resend is told;
// that work runs at most once depends on fences alone.
type sessions struct {
	limits Limits
	rows   map[string]session
}

type session struct {
	boot uint64
	seen time.Duration
}

func newSessions(limits Limits) sessions {
	return sessions{limits: limits, rows: map[string]session{}}
}

// seen records a sign of life. One of an older process comes late and counts
// for nothing.
func (s *sessions) seen(now time.Duration, from owner) {
	row, known := s.rows[from.instance]
	if known && from.boot < row.boot {
		return
	}
	if !known && len(s.rows) >= manySessions {
		maps.DeleteFunc(s.rows, func(_ string, old session) bool {
			return now-old.seen >= s.limits.ClaimRetention
		})
	}
	s.rows[from.instance] = session{boot: from.boot, seen: now}
}

// lostIn returns how long it takes until the process counts as lost, zero if it
// does already: it is not heard of, or a newer one runs in its place.
func (s *sessions) lostIn(now time.Duration, o owner) time.Duration {
	row, known := s.rows[o.instance]
	if !known || row.boot > o.boot {
		return 0
	}
	return max(0, row.seen+s.limits.SessionTimeout-now)
}

// keepAlive answers a KeepAlive.
func (c *claims) keepAlive(now time.Duration, request *rpc.KeepAlive) *rpc.Result {
	from := owner{request.GetOwner().GetInstance(), request.GetOwner().GetBoot()}
	if from.instance == "" || len(from.instance) > maxNameBytes {
		return refused(rpc.RefusalReason_REFUSED_MALFORMED)
	}
	c.sessions.seen(now, from)
	return done()
}

func (s *sessions) save(snapshot *rpc.Snapshot) {
	for _, instance := range slices.Sorted(maps.Keys(s.rows)) {
		row := s.rows[instance]
		snapshot.Sessions = append(snapshot.Sessions, &rpc.SessionRow{
			Instance: instance,
			Boot:     row.boot,
			Seen:     int64(row.seen),
		})
	}
}

func (s *sessions) load(snapshot *rpc.Snapshot) {
	for _, saved := range snapshot.GetSessions() {
		s.rows[saved.GetInstance()] = session{
			boot: saved.GetBoot(),
			seen: time.Duration(saved.GetSeen()),
		}
	}
}
