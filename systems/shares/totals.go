// Package shares adds up what all instances have started for organisations, so that each instance
// can share capacity as if it had started everything itself. Totals is the side of those that
// place requests, Charges that of those that ask. Both are pure: time is an argument. All costs
// are in prompt and output tokens.
package shares

import (
	"math"
	"slices"
	"time"
	"unique"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// forgetAfter is the time without news after which a total is deleted.
	forgetAfter = 10 * time.Second
	// sweepInterval is the interval between two sweeps for totals to delete.
	sweepInterval = time.Second
	// maxKeys, maxInstances and maxPlacers bound the memory to less than 4 MB. 8,600 organisations fit.
	// The latter two count the totals of instances and of placers over all keys. Placers have places of
	// their own, since their totals show who leads and who waits, and contain most of what instances
	// have started.
	maxKeys      = 9_000
	maxInstances = 4_096
	maxPlacers   = 6_144
	// zoneSilence is the time without a report after which another scheduler of a zone may
	// replace the one whose totals are used. Reports come every 100 ms while totals change.
	zoneSilence = time.Second
	// recentDecay is the time constant of the decaying cost by which organisations are compared.
	// It covers several requests of an organisation that starts one a second.
	recentDecay = 5 * time.Second
	// duplicateWindow is the time within which an unchanged total of a placer is taken for a duplicate
	// datagram. Placers send at most one every 50 ms.
	duplicateWindow = 10 * time.Millisecond
)

// Key names an organisation in a class of requests for a service. Classes are numbered by the
// caller.
type Key struct {
	Service, Organisation string
	Class                 int
}

// Cost is a running total.
type Cost struct {
	Key
	Total uint64
}

// Totals holds the running totals of instances and of other zones. It is soft state of bounded
// size. It is not safe for concurrent use. The zero value is ready to use.
type Totals struct {
	byKey   map[Key]*total
	groups  map[groupKey]*group
	sources map[tables.Zone]source
	// instances and placers count the totals of instances of the own zone and of placers.
	instances, placers int
	sweptAt            tables.Instant
	// placedChanged and zoneChanged list the keys whose totals, of what was placed here or of the own
	// zone, have changed since they were reported.
	placedChanged, zoneChanged []Key
}

// groupKey names the organisations that share capacity.
type groupKey struct {
	service string
	class   int
}

// group sums up the decaying costs of organisations and their squares.
type group struct {
	sum, squares float64
	at           tables.Instant
	keys         int
	// refusals are the latest requests that found no capacity, by model, and elsewhere holds the
	// organisations of each tier whose requests wait at another placer, as it has reported.
	refusals  map[string]*refusals
	elsewhere [waitingTiers]waiting
}

// total is what is known of a key.
type total struct {
	// senders are the instances of the own zone, ordered by name, and sum their totals.
	senders []sender
	sum     uint64
	// placed is what was placed here, peers what each other placer has reported, and placedSum the
	// sum of all.
	placed, placedSum uint64
	peers             []sender
	// reported is the total placed here that was last reported, and waitsAt when a request of the
	// organisation was last refused such that the other placers are told.
	reported uint64
	waitsAt  tables.Instant
	// zones are the totals of other zones.
	zones   []zoneTotal
	recent  float64
	at      tables.Instant
	heardAt tables.Instant
	// placedChanged and zoneChanged are set while the key is in the lists of the same names.
	placedChanged, zoneChanged bool
}

type zoneTotal struct {
	zone  tables.Zone
	from  tables.InstanceID
	total uint64
}

// source is the scheduler whose totals of a zone are used.
type source struct {
	scheduler tables.InstanceID
	heardAt   tables.Instant
}

// RecordInstance stores the total that an instance of the own zone has named in a question. A total
// lower than the known one replaces it: the instance has restarted.
func (t *Totals) RecordInstance(now tables.Instant, key Key, instance tables.InstanceID, cost uint64) {
	known := t.get(now, key)
	if known == nil {
		return
	}
	if s, _ := findOrAdd(&known.senders, instance, &t.instances, maxInstances); s != nil {
		known.sum += cost - s.total
		s.total, s.at = cost, now
		t.markZone(key, known)
	}
}

// Placed counts a request that is placed here. Its cost is its tokens. Refusals of the organisation's
// requests for the same model that need no more hold back nobody from then on.
func (t *Totals) Placed(now tables.Instant, key Key, r Request) {
	known := t.get(now, key)
	if known == nil {
		return
	}
	cost := uint64(max(0, r.Tokens))
	known.placed += cost
	known.placedSum += cost
	t.addRecent(now, key, known, cost)
	t.clearRefusals(key, r)
	t.markZone(key, known)
	t.markPlaced(key, known)
}

// RecordPlaced stores the total of what another placer has placed: another scheduler of the own
// zone or, without schedulers, another instance. A total lower than the known one replaces it. It
// returns false if there is no room for it: without the earlier total, neither an increase nor that
// an organisation waits there can be told.
func (t *Totals) RecordPlaced(now tables.Instant, key Key, placer tables.InstanceID, cost uint64) bool {
	known := t.get(now, key)
	if known == nil {
		return false
	}
	p, isNew := findOrAdd(&known.peers, placer, &t.placers, maxPlacers)
	if p == nil {
		return false
	}
	if !isNew {
		// What was placed before the placer was known is no recent cost.
		t.addRecent(now, key, known, p.increase(cost))
	}
	if cost == p.total && (isNew || now-p.at >= duplicateWindow) {
		t.recordWaitingElsewhere(now, key)
	}
	known.placedSum += cost - p.total
	p.set(now, cost)
	t.markZone(key, known)
	return true
}

// RecordZone stores the total that a scheduler of another zone has reported for that zone, and
// returns whether it is used. Totals of a zone come from one of its schedulers at a time, since
// those of two may overlap.
func (t *Totals) RecordZone(now tables.Instant, key Key, zone tables.Zone, scheduler tables.InstanceID, cost uint64) bool {
	if s, known := t.sources[zone]; known && s.scheduler != scheduler && now-s.heardAt < zoneSilence {
		return false
	}
	if t.sources == nil {
		t.sources = map[tables.Zone]source{}
	}
	t.sources[zone] = source{scheduler: scheduler, heardAt: now}
	known := t.get(now, key)
	if known == nil {
		return false
	}
	at := slices.IndexFunc(known.zones, func(z zoneTotal) bool { return z.zone == zone })
	if at < 0 {
		known.zones = append(known.zones, zoneTotal{zone: zone, from: scheduler, total: cost})
		return true
	}
	z := &known.zones[at]
	if z.from == scheduler && cost > z.total {
		t.addRecent(now, key, known, cost-z.total)
	}
	z.from, z.total = scheduler, cost
	return true
}

// Others returns the sum of the totals of all instances but one, which has started own itself; 0 if
// none is known. Of the own zone it is the greater of what its instances have named and what its
// placers have reported: what instances place while their scheduler fails is only in the first, and
// the first is late where instances ask rarely.
func (t *Totals) Others(key Key, own uint64) uint64 {
	known := t.byKey[key]
	if known == nil {
		return 0
	}
	sum := known.zoneTotal()
	sum -= min(sum, own)
	for _, z := range known.zones {
		sum += z.total
	}
	return sum
}

// zoneTotal returns the total of the own zone.
func (t *total) zoneTotal() uint64 { return max(t.sum, t.placedSum) }

// TakePlaced returns at most limit totals of what was placed here that have changed since they were
// last returned or whose organisations wait, longest unreported first. Those that have not changed
// are left out once the organisation has not waited for elsewhereWindow.
func (t *Totals) TakePlaced(now tables.Instant, limit int) []Cost {
	return t.take(&t.placedChanged, limit, func(known *total) (uint64, bool) {
		isNews := known.placed != known.reported || isRecent(now, known.waitsAt, elsewhereWindow)
		known.placedChanged, known.reported = false, known.placed
		return known.placed, isNews
	})
}

// TakeZone returns at most limit totals of the own zone that have changed since they were last
// returned, longest unreported first.
func (t *Totals) TakeZone(limit int) []Cost {
	return t.take(&t.zoneChanged, limit, func(known *total) (uint64, bool) {
		known.zoneChanged = false
		return known.zoneTotal(), true
	})
}

// take returns the totals of the first keys for which a function returns true, and removes all that
// it has asked for from the list.
func (t *Totals) take(from *[]Key, limit int, value func(*total) (uint64, bool)) []Cost {
	var costs []Cost
	taken := 0
	for _, key := range *from {
		if len(costs) >= limit {
			break
		}
		taken++
		if known := t.byKey[key]; known != nil {
			if cost, isNews := value(known); isNews {
				costs = append(costs, Cost{Key: key, Total: cost})
			}
		}
	}
	*from = slices.Delete(*from, 0, taken)
	return costs
}

// Lead returns how much of a group's recent cost an organisation has had: 1 or more if it has had no
// less than the others that use the capacity, 0 if nothing is known. The costs are compared with
// their mean weighted by cost, so that organisations with little demand do not count.
func (t *Totals) Lead(now tables.Instant, key Key) float64 {
	known, g := t.byKey[key], t.groups[groupKey{key.Service, key.Class}]
	if known == nil || g == nil || g.squares <= 0 {
		return 0
	}
	g.decayTo(now)
	return known.recent * decayed(now-known.at) * g.sum / g.squares
}

// Largest returns the organisation of a service with the largest recent cost in a class, the
// class, and the organisation's share of that cost; false if none is known.
func (t *Totals) Largest(now tables.Instant, service string) (Key, float64, bool) {
	var best Key
	share := 0.0
	for key, known := range t.byKey {
		g := t.groups[groupKey{key.Service, key.Class}]
		if key.Service != service || g == nil {
			continue
		}
		g.decayTo(now)
		if s := known.recent * decayed(now-known.at) / g.sum; g.sum > 0 && (s > share || s == share && key.Organisation < best.Organisation) {
			best, share = key, s
		}
	}
	return best, share, share > 0
}

// get returns the entry of a key and creates it if there is room.
func (t *Totals) get(now tables.Instant, key Key) *total {
	t.sweep(now)
	known := t.byKey[key]
	if known == nil {
		if len(t.byKey) >= maxKeys {
			return nil
		}
		if t.byKey == nil {
			t.byKey, t.groups = map[Key]*total{}, map[groupKey]*group{}
		}
		key.Service = unique.Make(key.Service).Value()
		known = &total{at: now}
		t.byKey[key] = known
		in := groupKey{key.Service, key.Class}
		if t.groups[in] == nil {
			t.groups[in] = &group{at: now}
		}
		t.groups[in].keys++
	}
	known.heardAt = now
	return known
}

func (t *Totals) markPlaced(key Key, known *total) {
	if !known.placedChanged {
		known.placedChanged = true
		t.placedChanged = append(t.placedChanged, key)
	}
}

func (t *Totals) markZone(key Key, known *total) {
	if !known.zoneChanged {
		known.zoneChanged = true
		t.zoneChanged = append(t.zoneChanged, key)
	}
}

// addRecent counts an increase towards the costs by which organisations are compared.
func (t *Totals) addRecent(now tables.Instant, key Key, known *total, increase uint64) {
	g := t.groups[groupKey{key.Service, key.Class}]
	g.decayTo(now)
	before := known.recent * decayed(now-known.at)
	known.recent, known.at = before+float64(increase), now
	g.sum += float64(increase)
	g.squares += known.recent*known.recent - before*before
}

func (g *group) decayTo(now tables.Instant) {
	factor := decayed(now - g.at)
	g.sum, g.squares, g.at = g.sum*factor, g.squares*factor*factor, now
}

// decayed returns the part of a cost that is left after some time.
func decayed(age time.Duration) float64 {
	return math.Exp(-float64(max(0, age)) / float64(recentDecay))
}

// sweep deletes the keys without news, and the instances that have asked no question of late. The
// totals of placers and zones stay as long as their key, since they are reported only when they
// change.
func (t *Totals) sweep(now tables.Instant) {
	if now-t.sweptAt < sweepInterval {
		return
	}
	t.sweptAt = now
	for key, known := range t.byKey {
		if now-known.heardAt >= forgetAfter {
			t.forget(now, key, known)
			continue
		}
		before := len(known.senders)
		known.senders = slices.DeleteFunc(known.senders, func(s sender) bool {
			gone := now-s.at >= forgetAfter
			if gone {
				known.sum -= s.total
			}
			return gone
		})
		t.instances -= before - len(known.senders)
	}
	isGone := func(key Key) bool { return t.byKey[key] == nil }
	t.placedChanged = slices.DeleteFunc(t.placedChanged, isGone)
	t.zoneChanged = slices.DeleteFunc(t.zoneChanged, isGone)
}

func (t *Totals) forget(now tables.Instant, key Key, known *total) {
	delete(t.byKey, key)
	t.instances -= len(known.senders)
	t.placers -= len(known.peers)
	in := groupKey{key.Service, key.Class}
	g := t.groups[in]
	if g.keys--; g.keys == 0 {
		delete(t.groups, in)
		return
	}
	g.decayTo(now)
	left := known.recent * decayed(now-known.at)
	g.sum, g.squares = max(0, g.sum-left), max(0, g.squares-left*left)
}
