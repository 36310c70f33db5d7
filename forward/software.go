package forward

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/streamorigin"
)

// StreamOrigins knows which version of the endpoints' software began a stream.
// *streamorigin.Directory implements it.
type StreamOrigins interface {
	// Record remembers an origin. If publish is set, it is known to other instances before the
	// client can resume the stream there.
	Record(origin streamorigin.Origin, publish bool)
	// PublishAll sends all known origins to other instances.
	PublishAll()
	// Find looks up, here and at other instances, which version began the stream of a request of a service.
	// Without a request it only collects which versions have served.
	Find(ctx context.Context, request, service string) streamorigin.Finding
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
	s.options.StreamOrigins.Record(streamorigin.Origin{Request: request, Software: version}, s.software.IsMixed(s.options.Now(), c.service.Name))
}

// originKnowledge is what an instance knows about the origin of a stream that a client resumes.
type originKnowledge string

const (
	originKnown   originKnowledge = "known"
	originUnknown originKnowledge = "unknown"
	// originSingle stands for an origin that nobody knows although no other version can have begun the
	// stream.
	originSingle originKnowledge = "single version"
	// originAssumed stands for an origin that cannot be looked up, while no instance that could be asked has
	// seen several versions.
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

// lookUpOrigin returns what is known of the origin of the resumed stream. What this instance has seen of the
// versions does not suffice: others may know of endpoints before it does. An instance that is out of
// touch lets a resumption that does not name its stream go on, since nobody can tell its origin.
func (c *clientRequest) lookUpOrigin() (origin originKnowledge, version string) {
	s, service := c.server, c.service.Name
	now := s.options.Now()
	seen := s.software.Seen(now, service)
	if s.options.StreamOrigins != nil && (c.resumes != "" || !seen.Complete && len(seen.Versions) <= 1) {
		found := s.options.StreamOrigins.Find(c.ctx, c.resumes, service)
		if found.Known {
			return originKnown, found.Software
		}
		seen = found.Seen
		if c.resumes != "" && !seen.Complete {
			return originUnknown, ""
		}
	}
	switch {
	case len(seen.Versions) > 1:
		return originUnknown, ""
	case seen.Complete:
		return originSingle, ""
	}
	return originAssumed, ""
}

// Software returns the versions of the endpoints' software that this instance has seen.
func (s *Server) Software() *streamorigin.Versions { return &s.software }

// RecordListAge records how long ago the list was read that the endpoints are from.
func (s *Server) RecordListAge(age time.Duration) {
	s.software.RecordListRead(s.options.Now() - max(age, 0))
}
