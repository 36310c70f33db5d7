package quarantine

import "github.com/carawaystile/carawaystile/tables"

// paired says whether f is one of two guilty requests that came at about the
// same time: each of the two crashed two endpoints at the same point and stands
// out in both crashes, and no other endpoint crashed. Without it two such
// requests look like a failure of something that the endpoints share, and each
// takes one endpoint more.
func (s *System) paired(f tables.Fingerprint) bool {
	if !s.gaveAway(f) {
		return false
	}
	beside := s.incidentsBeside(f)
	if len(beside) != convictAt {
		return false
	}
	for _, c := range beside[0].candidates {
		if !c.cleared && s.gaveAway(c.fingerprint) && beside[1].lists(c.fingerprint) {
			return true
		}
	}
	return false
}

// gaveAway says whether f was in as many crashes as convict, all at the same
// point, and stands out in each.
func (s *System) gaveAway(f tables.Fingerprint) bool {
	if s.weights[f].incidents != convictAt || !s.repeats(f) {
		return false
	}
	for _, i := range s.incidents {
		if i.lists(f) && !s.stands(i, f) {
			return false
		}
	}
	return true
}

// incidentsBeside are the crashes of endpoints at about the time of one that
// ran f, which did not run it themselves.
func (s *System) incidentsBeside(f tables.Fingerprint) []*incident {
	var beside []*incident
	for _, other := range s.incidents {
		if other.find(f) == nil && s.near(other, f) {
			beside = append(beside, other)
		}
	}
	return beside
}

// lists says whether f is a candidate that has not been cleared.
func (i *incident) lists(f tables.Fingerprint) bool {
	c := i.find(f)
	return c != nil && !c.cleared
}
