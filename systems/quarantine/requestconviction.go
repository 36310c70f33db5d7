package quarantine

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// convict records a conviction, unless a later one is known, and evicts the oldest
// one at the limit. fromReport is set if another instance has reported it.
func (d *Detector) convict(at tables.Instant, f tables.Fingerprint, fromReport bool) {
	if known, ok := d.convicted[f]; ok && known >= at {
		return
	}
	if len(d.convicted) >= d.options.MaxConvictions {
		deleteOldest(d.convicted)
	}
	d.convicted[f] = at
	delete(d.reportedConvictions, f)
	if fromReport {
		d.reportedConvictions[f] = true
	}
}

// deleteOldest deletes the entry with the earliest time. The lower fingerprint goes
// first among equals, so that the choice does not depend on the order of the map.
func deleteOldest(times map[tables.Fingerprint]tables.Instant) {
	var oldest tables.Fingerprint
	first := true
	for f, at := range times {
		if first || at < times[oldest] || at == times[oldest] && f < oldest {
			oldest, first = f, false
		}
	}
	delete(times, oldest)
}

// clearRequest refutes the incidents and the conviction of a request up to the given time. It returns the
// report for the other instances if they may be about to convict the request, or have convicted it.
func (d *Detector) clearRequest(at tables.Instant, f tables.Fingerprint) []Suspect {
	convictedAt, convicted := d.convicted[f]
	report := convicted || d.evidence[f].incidents >= convictionThreshold
	d.exonerate(at, f)
	if convictedAt <= at {
		delete(d.convicted, f)
	}
	if !report {
		return nil
	}
	if len(d.cleared) >= d.options.MaxConvictions {
		deleteOldest(d.cleared)
	}
	d.cleared[f] = max(at, d.cleared[f])
	return []Suspect{{Fingerprint: f, Cleared: true}}
}

// mergeRequestConviction applies another instance's conviction of a request. If that is older than the
// clearance of the request, it returns the report of the latter.
func (d *Detector) mergeRequestConviction(now, at tables.Instant, f tables.Fingerprint) []Suspect {
	if cleared, ok := d.cleared[f]; ok && at <= cleared {
		return d.refute(now, Suspect{Fingerprint: f, Cleared: true, Age: now - cleared})
	}
	d.convict(at, f, true)
	return nil
}

// refutationInterval is the minimum time between two reports that refute convictions of other instances.
// Each of them goes to all instances, and those that have missed it repeat their convictions every second.
const refutationInterval = 200 * time.Millisecond

// refute returns the report unless the last one was shortly before.
func (d *Detector) refute(now tables.Instant, report Suspect) []Suspect {
	if d.refutedAt != 0 && now-d.refutedAt < refutationInterval {
		return nil
	}
	d.refutedAt = now
	return []Suspect{report}
}
