package forward

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/streamorigin"
	"github.com/carawaystile/carawaystile/tables"
)

// StreamOrigins knows which version of the endpoints' software began a stream.
// *streamorigin.Directory implements it.
type StreamOrigins interface {
	// Record remembers an origin. If publish is set, it is known to other instances before the
	// client can resume the stream there.
	Record(origin streamorigin.Origin, publish bool)
	// PublishAll sends all known origins to other instances.
	PublishAll()
	// Find returns the version that began the stream of a request, here or at another instance.
	Find(ctx context.Context, request string) (software string, known bool)
}

// versionMemory is how long a version that no endpoint has any more still counts: clients may
// resume the streams that it began.
const versionMemory = 30 * time.Second

// softwareVersions holds the versions of the endpoints' software by service. It is safe for
// concurrent use.
type softwareVersions struct {
	mu sync.Mutex
	// seenAt is when each version was last in use. Zero stands for now.
	seenAt map[string]map[string]tables.Instant
	mixed  map[string]bool
	// observedAt is when the versions were first observed; 0 before that.
	observedAt tables.Instant
}

// observe updates the versions, and reports whether a service has several that had one before.
func (v *softwareVersions) observe(now tables.Instant, endpoints map[tables.EndpointID]fleet.Endpoint) (becameMixed bool) {
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
		v.mixed[service] = v.countLocked(now, service) > 1
		becameMixed = becameMixed || v.mixed[service] && !was
	}
	return becameMixed
}

// isMixed reports whether streams of several versions may be resumed at a service.
func (v *softwareVersions) isMixed(now tables.Instant, service string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.countLocked(now, service) > 1
}

// knowsSingle reports whether no stream that may be resumed at a service began at another version
// than the one that serves. An instance that has started lately does not know which versions served
// before.
func (v *softwareVersions) knowsSingle(now tables.Instant, service string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.seenAt != nil && now-v.observedAt > versionMemory && v.countLocked(now, service) <= 1
}

// countLocked returns the number of versions that are or were lately in use at a service.
func (v *softwareVersions) countLocked(now tables.Instant, service string) int {
	count := 0
	for version, at := range v.seenAt[service] {
		if at != 0 && now-at > versionMemory {
			delete(v.seenAt[service], version)
			continue
		}
		count++
	}
	return count
}

// fixSoftware restricts the rest of the request to one version of the endpoints' software. Events
// of different versions do not form one stream.
func (c *clientRequest) fixSoftware(version string) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.dispatchRequest.Software, c.dispatchRequest.SoftwareFixed = version, true
}

// beginStream fixes the version whose first event was read, and records it before the client has
// that event: from then on, the client may resume the stream at any instance.
func (c *clientRequest) beginStream(version string) {
	c.fixSoftware(version)
	s := c.server
	if s.options.StreamOrigins == nil || !c.route.Resumable {
		return
	}
	request := c.id
	if c.resumes != "" {
		request = c.resumes
	}
	s.options.StreamOrigins.Record(streamorigin.Origin{Request: request, Software: version}, s.software.isMixed(s.options.Now(), c.service.Name))
}

// originKnowledge is what an instance knows about the origin of a stream that a client resumes.
type originKnowledge string

const (
	originKnown   originKnowledge = "known"
	originUnknown originKnowledge = "unknown"
	// originSingle stands for an origin that was not looked up, because no other version can have begun
	// the stream.
	originSingle originKnowledge = "single version"
	// originAssumed stands for an origin that cannot be looked up, at an instance that has seen one
	// version since it started.
	originAssumed originKnowledge = "assumed"
)

// findOrigin restricts a resumption to the version that began its stream. It returns false if that
// version is unknown and there may have been several: at another one, the client would get events that
// do not fit those that it has.
func (c *clientRequest) findOrigin() bool {
	if c.lastEventID == "" {
		return true
	}
	s := c.server
	origin, version := c.lookUpOrigin()
	if origin == originKnown {
		c.fixSoftware(version)
	}
	events.StreamResumed.Log(s.log, append(c.logFields(), zap.String("resumes", c.resumes), zap.String("origin", string(origin)), zap.String("software", version))...)
	return origin != originUnknown
}

// lookUpOrigin returns what is known of the origin of the resumed stream. A client that does not name
// the stream, or a server that records no origins, leaves only the versions that this instance has seen:
// refusing such resumptions after each start would end streams although one version serves alone.
func (c *clientRequest) lookUpOrigin() (origin originKnowledge, version string) {
	s, service := c.server, c.service.Name
	now := s.options.Now()
	switch {
	case s.software.knowsSingle(now, service):
		return originSingle, ""
	case s.options.StreamOrigins == nil || c.resumes == "":
		if s.software.isMixed(now, service) {
			return originUnknown, ""
		}
		return originAssumed, ""
	}
	if version, known := s.options.StreamOrigins.Find(c.ctx, c.resumes); known {
		return originKnown, version
	}
	return originUnknown, ""
}
