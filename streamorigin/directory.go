package streamorigin

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaystile/carawaystile/internal/batch"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// maxSmall is the number of entry instances up to which a deployment is small: an origin has two
	// owners in each zone, since half of the instances may fail at once, and a lookup asks all
	// instances. In larger ones it has one owner in each zone, and a lookup asks the owners.
	maxSmall = 16
	// maxOriginsPerMessage bounds a message so that it fits into a datagram.
	maxOriginsPerMessage = 20
	// archiveInterval is the interval at which new origins are sent to the archives. An instance that is
	// killed loses those that it has not sent.
	archiveInterval = 250 * time.Millisecond
	// maxUnsent bounds the origins that wait until an archive is known.
	maxUnsent = 1 << 12
)

// Options configures a Directory. All fields are required.
type Options struct {
	Self tables.InstanceID
	// EntriesByZone returns the live entry instances of each zone.
	EntriesByZone func() map[tables.Zone][]membership.EntryInstance
	// Archives returns the live control instances, which keep the origins of all streams.
	Archives func() []membership.EntryInstance
	// Send sends origins to an instance. They may be lost.
	Send func(to netip.AddrPort, message *rpc.StreamOrigins)
	// Ask asks another instance for the origins of requests' streams, and what it has seen of services.
	Ask func(ctx context.Context, instance membership.EntryInstance, requests, services []string) (Answer, error)
	// Seen returns what this instance has seen of a service.
	Seen func(service string) Seen
	Now  func() tables.Instant
}

// Directory shares the origins of streams among entry instances. Each origin is held by the
// instance that began the stream, by its owners in each availability zone while several versions
// serve, so that a zone that is cut off still knows the origins of its streams, and soon by the archives
// at the control instances, which outlive entry instances. It is safe for concurrent use.
type Directory struct {
	options Options
	table   Table

	mu     sync.Mutex
	unsent []Origin
	// lookups holds what combines questions to an instance, by its address.
	lookups map[netip.AddrPort]*batch.Caller[question, lookupAnswer]
	// sentTo holds the archives that were known at the last send. It is used by SendToArchives only.
	sentTo map[tables.InstanceID]bool
}

// NewDirectory returns an empty directory.
func NewDirectory(options Options) *Directory { return &Directory{options: options} }

// Record remembers the origin of a stream, and sends it to its owners if publish is set. The archives
// get it with the next batch.
func (d *Directory) Record(o Origin, publish bool) {
	o.Request = identify(o.Request)
	d.table.Record(d.options.Now(), o)
	d.mu.Lock()
	if len(d.unsent) < maxUnsent {
		d.unsent = append(d.unsent, o)
	}
	d.mu.Unlock()
	if publish {
		d.publish([]Origin{o})
	}
}

// Run sends new origins to the archives until the context ends.
func (d *Directory) Run(ctx context.Context) {
	ticker := time.NewTicker(archiveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.SendToArchives()
		}
	}
}

// SendToArchives sends the origins that the archives do not have yet; to an archive that was not known
// before, all. Without an archive they are kept. Calls must not overlap.
func (d *Directory) SendToArchives() {
	archives := d.options.Archives()
	if len(archives) == 0 {
		return
	}
	d.mu.Lock()
	batch := d.unsent
	d.unsent = nil
	d.mu.Unlock()
	sentTo := make(map[tables.InstanceID]bool, len(archives))
	for _, archive := range archives {
		origins := batch
		if !d.sentTo[archive.Instance] {
			origins = d.table.All()
		}
		d.sendAll(archive.Address, origins)
		sentTo[archive.Instance] = true
	}
	d.sentTo = sentTo
}

// PublishAll sends all known origins to their owners.
func (d *Directory) PublishAll() { d.publish(d.table.All()) }

func (d *Directory) publish(origins []Origin) {
	byOwner := map[netip.AddrPort][]Origin{}
	zones := d.options.EntriesByZone()
	for _, o := range origins {
		for _, owner := range owners(zones, o.Request) {
			if owner.Instance != d.options.Self {
				byOwner[owner.Address] = append(byOwner[owner.Address], o)
			}
		}
	}
	for to, all := range byOwner {
		d.sendAll(to, all)
	}
}

func (d *Directory) sendAll(to netip.AddrPort, origins []Origin) {
	for batch := range slices.Chunk(origins, maxOriginsPerMessage) {
		d.options.Send(to, encode(batch))
	}
}

// Receive records the origins that another instance has sent.
func (d *Directory) Receive(message *rpc.StreamOrigins) {
	now := d.options.Now()
	for _, o := range message.GetOrigins() {
		d.table.Record(now, Origin{Request: o.GetRequest(), Software: o.GetSoftware()})
	}
}

// FindLocally returns the origin of a request's stream if this instance knows it.
func (d *Directory) FindLocally(request string) (software string, known bool) {
	return d.table.Find(request)
}

// instancesToAsk returns the other instances that may know an origin: its owners, and in a small
// deployment all, since one of them began the stream.
func (d *Directory) instancesToAsk(request string) []membership.EntryInstance {
	zones := d.options.EntriesByZone()
	candidates := owners(zones, request)
	if countEntries(zones) <= maxSmall {
		candidates = nil
		for _, entries := range zones {
			candidates = append(candidates, entries...)
		}
	}
	var others []membership.EntryInstance
	for _, instance := range candidates {
		if instance.Instance != d.options.Self {
			others = append(others, instance)
		}
	}
	return others
}

func countEntries(zones map[tables.Zone][]membership.EntryInstance) int {
	count := 0
	for _, entries := range zones {
		count += len(entries)
	}
	return count
}

// owners returns the owners of an origin by rendezvous hashing within each zone.
func owners(zones map[tables.Zone][]membership.EntryInstance, request string) []membership.EntryInstance {
	perZone := 1
	if countEntries(zones) <= maxSmall || len(zones) == 1 {
		perZone = 2
	}
	hash := xxhash.Sum64String(request)
	var all []membership.EntryInstance
	for _, entries := range zones {
		all = append(all, highest(entries, hash, perZone)...)
	}
	return all
}

// highest returns the n instances with the highest hashes.
func highest(entries []membership.EntryInstance, key uint64, n int) []membership.EntryInstance {
	score := func(e *membership.EntryInstance) uint64 {
		return placement.Mix64(key ^ xxhash.Sum64String(string(e.Instance)))
	}
	var top []membership.EntryInstance
	for i := range entries {
		at := len(top)
		for at > 0 && score(&entries[i]) > score(&top[at-1]) {
			at--
		}
		if at < n {
			top = append(top[:at], append([]membership.EntryInstance{entries[i]}, top[at:]...)...)
			top = top[:min(len(top), n)]
		}
	}
	return top
}

func encode(origins []Origin) *rpc.StreamOrigins {
	message := &rpc.StreamOrigins{}
	for _, o := range origins {
		message.Origins = append(message.Origins, &rpc.StreamOrigin{Request: o.Request, Software: o.Software})
	}
	return message
}
