package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// CrashSuspect says that equal work has crashed endpoints.
type CrashSuspect struct {
	Fingerprint tables.Fingerprint
	Crashes     int
	// TTL is how long the suspicion is to be kept.
	TTL time.Duration
}

// Placement says that a prefix was placed at an endpoint.
type Placement struct {
	Endpoint tables.EndpointID
	Boot     tables.BootID
	Block    tables.BlockHash
}

const (
	// queueLength bounds hints that wait to be passed on; the oldest go first.
	queueLength = 256
	// rememberedHints bounds what is known as seen.
	rememberedHints = 4096
)

// gossip passes hints on. A hint that an instance sees for the first time rides
// on a few of its datagrams; one seen before goes no further.
type gossip struct {
	suspects   []queued[CrashSuspect]
	placements []queued[Placement]
	// crashes is the suspicion seen of each fingerprint, placed the placements
	// seen. Both are emptied when full: a hint that is passed on once more does
	// no harm.
	crashes map[tables.Fingerprint]suspicion
	placed  map[Placement]bool
}

// suspicion is forgotten at until.
type suspicion struct {
	crashes int
	until   tables.Instant
}

type queued[T any] struct {
	hint T
	sent int
}

func newGossip() gossip {
	return gossip{crashes: map[tables.Fingerprint]suspicion{}, placed: map[Placement]bool{}}
}

// ShareSuspect lets the others know of a suspect.
func (m *Membership) ShareSuspect(now tables.Instant, s CrashSuspect) { m.gossip.newSuspect(now, s) }

// SharePlacement lets the others know of a placement.
func (m *Membership) SharePlacement(p Placement) { m.gossip.newPlacement(p) }

func (g *gossip) newSuspect(now tables.Instant, s CrashSuspect) bool {
	known := g.crashes[s.Fingerprint]
	if s.TTL <= 0 || s.Crashes <= known.crashes && now < known.until {
		return false
	}
	if len(g.crashes) >= rememberedHints {
		clear(g.crashes)
	}
	g.crashes[s.Fingerprint] = suspicion{crashes: s.Crashes, until: now + s.TTL}
	g.suspects = push(g.suspects, s)
	return true
}

func (g *gossip) newPlacement(p Placement) bool {
	if g.placed[p] {
		return false
	}
	if len(g.placed) >= rememberedHints {
		clear(g.placed)
	}
	g.placed[p] = true
	g.placements = push(g.placements, p)
	return true
}

func push[T any](queue []queued[T], hint T) []queued[T] {
	if len(queue) >= queueLength {
		queue = queue[1:]
	}
	return append(queue, queued[T]{hint: hint})
}

// take hands out the hints of a datagram that are new here.
func (g *gossip) take(now tables.Instant, out *Output, in *rpc.Datagram) {
	for _, encoded := range in.GetSuspects() {
		s := CrashSuspect{
			Fingerprint: tables.Fingerprint(encoded.GetFingerprint()),
			Crashes:     int(encoded.GetCrashes()),
			TTL:         time.Duration(encoded.GetTtlNanos()),
		}
		if g.newSuspect(now, s) {
			out.Suspects = append(out.Suspects, s)
		}
	}
	for _, encoded := range in.GetPlacements() {
		p := Placement{
			Endpoint: tables.EndpointID(encoded.GetEndpoint()),
			Boot:     tables.BootID(encoded.GetBoot()),
			Block:    tables.BlockHash(encoded.GetBlock()),
		}
		if g.newPlacement(p) {
			out.Placements = append(out.Placements, p)
		}
	}
}

// add puts hints into a datagram while they fit into room: suspects first,
// since they keep endpoints alive, then the newest placements.
func (g *gossip) add(now tables.Instant, d *rpc.Datagram, room, spread int) {
	g.suspects = ride(g.suspects, spread, func(s CrashSuspect) bool {
		left := g.crashes[s.Fingerprint].until - now
		if left <= 0 {
			return true
		}
		encoded := &rpc.CrashSuspect{
			Fingerprint: uint64(s.Fingerprint),
			Crashes:     uint32(s.Crashes),
			TtlNanos:    int64(left),
		}
		if !fits(&room, proto.Size(encoded)) {
			return false
		}
		d.Suspects = append(d.Suspects, encoded)
		return true
	})
	g.placements = ride(g.placements, spread, func(p Placement) bool {
		encoded := &rpc.CachePlacement{
			Endpoint: string(p.Endpoint),
			Boot:     string(p.Boot),
			Block:    uint64(p.Block),
		}
		if !fits(&room, proto.Size(encoded)) {
			return false
		}
		d.Placements = append(d.Placements, encoded)
		return true
	})
}

func fits(room *int, size int) bool {
	if size+fieldOverhead > *room {
		return false
	}
	*room -= size + fieldOverhead
	return true
}

// ride offers hints to put, newest first, until one does not fit, and drops
// those that were sent often enough.
func ride[T any](queue []queued[T], spread int, put func(T) bool) []queued[T] {
	for i := len(queue) - 1; i >= 0; i-- {
		if !put(queue[i].hint) {
			break
		}
		queue[i].sent++
	}
	kept := queue[:0]
	for _, q := range queue {
		if q.sent < max(1, spread) {
			kept = append(kept, q)
		}
	}
	return kept
}
