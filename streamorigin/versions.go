package streamorigin

import (
	"slices"
	"sync"
	"time"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// VersionMemory is how long a version that no endpoint has any more still counts: clients may
	// resume the streams that it began.
	VersionMemory = 30 * time.Second
	// maxListAge is the age of the platform's list from which on it may lack a version that serves. It
	// exceeds the time in which a list that is read reaches all instances.
	maxListAge = 3 * time.Second
)

// Seen is what instances have seen of the endpoints of a service.
type Seen struct {
	// Versions are those of the software that have served within VersionMemory, in order.
	Versions []string
	// Complete is set if no other version can have served in that time.
	Complete bool
}

// merge adds what another instance has seen. One that has watched all the time vouches for the others.
func (s Seen) merge(other Seen) Seen {
	versions := append(slices.Clone(s.Versions), other.Versions...)
	slices.Sort(versions)
	return Seen{Versions: slices.Compact(versions), Complete: s.Complete || other.Complete}
}

// IsSingle reports whether only one version can have begun a stream of the service.
func (s Seen) IsSingle() bool { return s.Complete && len(s.Versions) <= 1 }

// Versions holds the versions of the endpoints' software by service. It is safe for concurrent use. The zero
// value has seen none.
type Versions struct {
	mu sync.Mutex
	// seenAt is when each version was last in use. Zero stands for now.
	seenAt map[string]map[string]tables.Instant
	mixed  map[string]bool
	// observedAt is when the versions were first observed, and listReadAt when the list that they are from
	// was read.
	observedAt, listReadAt tables.Instant
}

// Observe updates the versions, and reports whether a service has several that had one before.
func (v *Versions) Observe(now tables.Instant, endpoints map[tables.EndpointID]fleet.Endpoint) (becameMixed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.seenAt == nil {
		v.seenAt, v.mixed = map[string]map[string]tables.Instant{}, map[string]bool{}
		v.observedAt = now
	}
	for _, versions := range v.seenAt {
		delete(versions, "") // an unknown version may have become known
		for version, at := range versions {
			if at == 0 {
				versions[version] = now
			}
		}
	}
	for _, e := range endpoints {
		if v.seenAt[e.Service] == nil {
			v.seenAt[e.Service] = map[string]tables.Instant{}
		}
		v.seenAt[e.Service][e.Software] = 0
	}
	for service := range v.seenAt {
		was := v.mixed[service]
		v.mixed[service] = len(v.versions(now, service)) > 1
		becameMixed = becameMixed || v.mixed[service] && !was
	}
	return becameMixed
}

// RecordListRead records that the observed endpoints are those of a list that was read at the given time.
func (v *Versions) RecordListRead(at tables.Instant) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.listReadAt = max(v.listReadAt, at)
}

// ListAge returns the age of the list that the observed endpoints are from, and false before there is one.
func (v *Versions) ListAge(now tables.Instant) (age time.Duration, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now - v.listReadAt, v.listReadAt > 0
}

// IsMixed reports whether streams of several versions may be resumed at a service.
func (v *Versions) IsMixed(now tables.Instant, service string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.versions(now, service)) > 1
}

// Seen returns what this instance has seen of a service.
func (v *Versions) Seen(now tables.Instant, service string) Seen {
	v.mu.Lock()
	defer v.mu.Unlock()
	return Seen{
		Versions: v.versions(now, service),
		Complete: v.seenAt != nil && now-v.observedAt > VersionMemory && v.listReadAt > 0 && now-v.listReadAt <= maxListAge,
	}
}

// versions returns the versions that are or were lately in use at a service, in order. The caller holds mu.
func (v *Versions) versions(now tables.Instant, service string) []string {
	var all []string
	for version, at := range v.seenAt[service] {
		if at != 0 && now-at > VersionMemory {
			delete(v.seenAt[service], version)
			continue
		}
		all = append(all, version)
	}
	slices.Sort(all)
	return all
}
