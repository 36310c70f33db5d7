package forward

import (
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/dialect"
	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/systems/quarantine"
	"github.com/carawaystile/carawaystile/systems/quarantine/quarantinelog"
	"github.com/carawaystile/carawaystile/tables"
)

// work returns what identifies the request to the crash detector.
func (c *clientRequest) work() quarantine.Work {
	work := quarantine.Work{Request: c.fingerprint}
	for _, id := range c.contentIDs {
		work.Parts = append(work.Parts, quarantine.Part(id))
	}
	return work
}

// incarnationOf returns the endpoint process of a placement. Its boot is not known: endpoints do not
// name it in their responses, and the list shows a new start late.
func incarnationOf(placement *dispatch.Attempt) quarantine.Incarnation {
	return quarantine.Incarnation{Endpoint: placement.Endpoint.ID}
}

// quarantineVerdict returns whether the crash detector allows the request to run now.
func (s *Server) quarantineVerdict(c *clientRequest) quarantine.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantineVerdictLocked(c)
}

// quarantineVerdictLocked is quarantineVerdict for a caller that holds s.mu.
func (s *Server) quarantineVerdictLocked(c *clientRequest) quarantine.Verdict {
	if s.crashDetector.Empty() {
		return quarantine.Allow
	}
	verdict := s.crashDetector.Verdict(s.options.Now(), c.work())
	s.logPartChanges()
	return verdict
}

// quarantineCode returns the error code for a request that is quarantined, and sets the delay that
// the client is told.
func (c *clientRequest) quarantineCode() tables.ErrorCode {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	conviction, convicted := s.crashDetector.ConvictedPart(s.options.Now(), c.work())
	if !convicted {
		return tables.CodeQuarantined
	}
	c.quarantinedPart, c.retryAfter = parts.ID(conviction.Part), conviction.ReleaseIn
	return tables.CodeQuarantinedPart
}

// quarantineFields returns the fields that name the part of the prompt because of which the request
// was rejected: its ID in other log lines, and the hash by which the client names it.
func (c *clientRequest) quarantineFields() []zap.Field {
	if c.quarantinedPart == 0 {
		return nil
	}
	fields := []zap.Field{zap.Stringer("part", c.quarantinedPart)}
	for n, part := range dialect.ParsePromptParts(c.r.Header.Get(c.server.headers.PromptParts), maxSharedParts) {
		if n < len(c.contentIDs) && c.contentIDs[n] == c.quarantinedPart {
			return append(fields, zap.String("part_hash", part.ID))
		}
	}
	return fields
}

// recordCrashOutcome records the end of an attempt with the crash detector, and returns the reports
// of what it clears. The caller holds s.mu.
func (a *attempt) recordCrashOutcome(now tables.Instant, result dispatch.Outcome) (cleared []quarantine.Suspect) {
	s := a.request.server
	switch {
	case result == dispatch.Completed && a.noProof:
		s.crashDetector.Failed(now, a.id)
	case result == dispatch.Completed:
		cleared = s.crashDetector.Completed(now, a.id)
		s.logPartChanges()
	case result == dispatch.Broken:
		s.crashDetector.Interrupted(now, a.id, a.responses, int(a.request.lastEventNumber))
	default:
		s.crashDetector.Ended(a.id)
	}
	return cleared
}

// isLeaving reports whether an endpoint is known to be about to stop.
func (s *Server) isLeaving(id tables.EndpointID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.IsLeaving(id)
}

// recordCrash records the crash of an endpoint with the crash detector, and notifies the other
// instances of what was running there.
func (s *Server) recordCrash(incarnation quarantine.Incarnation) {
	s.mu.Lock()
	suspects := s.crashDetector.Crashed(s.options.Now(), incarnation)
	s.logPartChanges()
	s.mu.Unlock()
	events.EndpointCrashed.Log(s.log, zap.String("endpoint", string(incarnation.Endpoint)), zap.Int("suspects", len(suspects)))
	if len(suspects) > 0 {
		s.options.ShareSuspects(suspects)
		s.armQuarantineSweep()
	}
}

// MergeSuspects merges the suspects of another instance's report into the crash detector.
func (s *Server) MergeSuspects(suspects []quarantine.Suspect) {
	var reports []quarantine.Suspect
	sweep := false
	s.mu.Lock()
	now := s.options.Now()
	for _, suspect := range suspects {
		reports = append(reports, s.crashDetector.Merge(now, suspect)...)
		sweep = sweep || suspect.Part != 0 && !suspect.Cleared
	}
	s.logPartChanges()
	s.mu.Unlock()
	if len(reports) > 0 {
		s.options.ShareSuspects(reports)
	}
	if sweep {
		s.armQuarantineSweep()
	}
}

// ConvictionReports returns the latest convictions, at most limit, for an instance that may have
// missed them.
func (s *Server) ConvictionReports(limit int) []quarantine.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashDetector.Empty() {
		return nil
	}
	return s.crashDetector.ConvictionReports(s.options.Now(), limit)
}

// Convictions returns the parts of prompts that are convicted of crashing endpoints.
func (s *Server) Convictions() []quarantine.Conviction {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashDetector.Convictions(s.options.Now())
}

// ReleasePart ends the conviction of a part here and at the other instances, and reports whether it
// was convicted.
func (s *Server) ReleasePart(part parts.ID) bool {
	s.mu.Lock()
	reports := s.crashDetector.ReleasePart(s.options.Now(), quarantine.Part(part))
	s.logPartChanges()
	s.mu.Unlock()
	if len(reports) > 0 {
		s.options.ShareSuspects(reports)
	}
	return len(reports) > 0
}

// logPartChanges logs the convictions and releases of parts. The caller holds s.mu.
func (s *Server) logPartChanges() {
	quarantinelog.PartChanges(s.log, s.crashDetector.TakePartChanges())
}

// quarantineSweepDelay is the time from the report of a crash to quarantineSweep. The evidence has
// settled by then.
const quarantineSweepDelay = quarantine.DefaultSettleDelay + 50*time.Millisecond

// armQuarantineSweep has quarantineSweep run after quarantineSweepDelay, and once for all crashes
// until then.
func (s *Server) armQuarantineSweep() {
	if s.sweepArmed.CompareAndSwap(false, true) {
		time.AfterFunc(quarantineSweepDelay, s.quarantineSweep)
	}
}

// quarantineSweep gives up the attempts that wait for their endpoint's response and whose request
// has been quarantined since they were sent: an endpoint that has not begun to run one does not
// crash.
func (s *Server) quarantineSweep() {
	s.sweepArmed.Store(false)
	for _, a := range s.healthChecker.pendingAttempts() {
		if s.quarantineVerdict(a.request) == quarantine.Reject {
			a.quarantined.Store(true)
			a.cancel()
		}
	}
}
