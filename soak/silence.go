package soak

import (
	"slices"

	"github.com/carawaystile/carawaystile/platform/platformtest"
)

const (
	silenceFault = "an endpoint falls silent"
	endlessFault = "an endpoint sends without end"
	// silentShare and endlessShare are the parts of an endpoint's responses that the faults strike.
	// Endless responses are few, since the instance and both proxies are busy with each of them.
	silentShare  = 0.4
	endlessShare = 0.1
)

// fallSilent has an endpoint pause a part of its responses, which is no failure.
func fallSilent(s *strike) { s.trouble(silentShare, platformtest.Silences...) }

// sendWithoutEnd has an endpoint answer some requests with bytes that are no response and don't end.
func sendWithoutEnd(s *strike) { s.trouble(endlessShare, platformtest.Endless...) }

// strikesMemory says whether a plan has faults that may take memory of an instance.
func strikesMemory(plan []Event) bool {
	return slices.ContainsFunc(plan, func(e Event) bool { return e.Fault == endlessFault })
}

// ranWith says whether one of the faults struck a run of the request.
func (r *request) ranWith(faults []platformtest.Fault) bool {
	return slices.ContainsFunc(r.runs, func(run platformtest.Run) bool { return slices.Contains(faults, run.Fault) })
}
