package quarantine

import "time"

// Options configures a Detector. Zero fields take the defaults.
type Options struct {
	// LikelyWindow is how long after its first token a request counts as a likely
	// cause of a crash. Older requests become candidates too, but run without
	// restriction after their first incident.
	LikelyWindow time.Duration
	// SettleDelay is how long an incident waits for the reports of other instances
	// before it convicts a request.
	SettleDelay time.Duration
	// OwnershipWindow is how long after an incident its candidates run only at
	// endpoints that their instance owns.
	OwnershipWindow time.Duration
	// OutliveMargin is how much longer than before its crashes a suspect must run
	// to count as harmless to other requests.
	OutliveMargin time.Duration
	// Retention is how long incidents and convictions are kept.
	Retention time.Duration
	// BurstWindow is the time within which several crashes suggest the failure of
	// something that the endpoints share, see requiredIncidents.
	BurstWindow time.Duration
	// CrashDetectionLag is how long after its interruption an attempt is still a
	// candidate if its endpoint turns out to have crashed.
	CrashDetectionLag time.Duration
	// MaxIncidents, MaxCandidates and MaxConvictions bound the incidents, the
	// candidates of one incident and the convictions. The oldest incidents and
	// convictions are evicted first; a full incident takes no more candidates.
	MaxIncidents   int
	MaxCandidates  int
	MaxConvictions int
	// MaxParts bounds the parts that were in question at a crash or are convicted.
	MaxParts int
}

// Default values of the Options.
const (
	DefaultLikelyWindow      = 5 * time.Second
	DefaultSettleDelay       = 500 * time.Millisecond
	DefaultOwnershipWindow   = 5 * time.Second
	DefaultOutliveMargin     = 1500 * time.Millisecond
	DefaultRetention         = 10 * time.Minute
	DefaultCrashDetectionLag = 2 * time.Second
	DefaultBurstWindow       = 2 * time.Second
	DefaultMaxIncidents      = 64
	DefaultMaxCandidates     = 256
	DefaultMaxConvictions    = 1024
	DefaultMaxParts          = 4096
)

// withDefaults fills in the defaults.
func (o Options) withDefaults() Options {
	setDefault(&o.LikelyWindow, DefaultLikelyWindow)
	setDefault(&o.SettleDelay, DefaultSettleDelay)
	setDefault(&o.OwnershipWindow, DefaultOwnershipWindow)
	setDefault(&o.OutliveMargin, DefaultOutliveMargin)
	setDefault(&o.Retention, DefaultRetention)
	setDefault(&o.CrashDetectionLag, DefaultCrashDetectionLag)
	setDefault(&o.BurstWindow, DefaultBurstWindow)
	setDefault(&o.MaxIncidents, DefaultMaxIncidents)
	setDefault(&o.MaxCandidates, DefaultMaxCandidates)
	setDefault(&o.MaxConvictions, DefaultMaxConvictions)
	setDefault(&o.MaxParts, DefaultMaxParts)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
