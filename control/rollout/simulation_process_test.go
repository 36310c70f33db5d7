package rollout

import "github.com/carawaystile/carawaystile/tables"

// simProcess is a process of an engine, by the rules of the platform.
type simProcess struct {
	id      tables.EndpointID
	address int
	start   int64
	bornAt  tables.Instant
	version uint64
	// second is the version of simSecondModel, 0 if the process does not serve it.
	second uint64
	// loading is the version of loadingModel that is being loaded until loadedAt, 0 if there is none.
	loading      uint64
	loadingModel string
	loadedAt     tables.Instant
	sequence     uint64
	// fence is the highest fencing token that the process has seen.
	fence tables.FencingToken
	// reports holds the latest states, oldest first.
	reports []simState
	// silentUntil, sheddingUntil and lateUntil end the troubles of the process; troubledAt is when it was last
	// in one. Until oddUntil the list shows the version claimed instead of its own.
	silentUntil, sheddingUntil, lateUntil, troubledAt tables.Instant
	oddUntil                                          tables.Instant
	claimed                                           uint64
	// Until cutUntil no link reaches the process; until hangingUntil it leaves a share of the calls unanswered.
	cutUntil, hangingUntil tables.Instant
	// draining is set once the process is about to stop for good.
	draining bool
	goneAt   tables.Instant
}

// simState is what a report shows.
type simState struct {
	at      tables.Instant
	version uint64
	second  uint64
	seq     uint64
	busy    bool
}

func (p *simProcess) gone() bool { return p.goneAt != 0 }

// Models of the simulated engines.
const (
	simModel       = "m"
	simSecondModel = "n"
)

// weights returns the versions that the process serves.
func (p *simProcess) weights() map[string]uint64 { return simWeights(p.version, p.second) }

func simWeights(version, second uint64) map[string]uint64 {
	if second == 0 {
		return map[string]uint64{simModel: version}
	}
	return map[string]uint64{simModel: version, simSecondModel: second}
}

func (p *simProcess) completeLoad() {
	if p.loadingModel == simSecondModel {
		p.second = p.loading
	} else {
		p.version = p.loading
	}
	p.loading = 0
}
