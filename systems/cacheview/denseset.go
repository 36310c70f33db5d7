package cacheview

import "github.com/carawaystile/carawaystile/tables"

// denseEntry records that an endpoint holds the block of a dense set.
type denseEntry struct {
	generation generationID
	timestamp  uint16
}

// denseSet contains the holders of one block in an array that is indexed by
// endpoint. It is used for blocks that very many endpoints have cached, such as
// a prefix shared by all requests of a model.
type denseSet struct {
	entries   []denseEntry
	updatedAt uint16
	inUse     bool
}

// add creates or refreshes the entry of an endpoint. It reports whether the entry
// is new.
func (s *denseSet) add(index tables.EndpointIndex, id generationID, now uint16) bool {
	for int(index) >= len(s.entries) {
		s.entries = append(s.entries, denseEntry{})
	}
	fresh := s.entries[index].generation != id
	s.entries[index] = denseEntry{generation: id, timestamp: now}
	s.updatedAt = now
	return fresh
}

// remove removes the entry of an endpoint if it belongs to the generation.
func (s *denseSet) remove(index tables.EndpointIndex, id generationID) {
	if int(index) < len(s.entries) && s.entries[index].generation == id {
		s.entries[index] = denseEntry{}
	}
}

// sweep removes entries that are too old or belong to retired generations.
func (s *denseSet) sweep(x *Index, now uint16) {
	for i := range s.entries {
		r := &s.entries[i]
		if r.generation != noGeneration && (!x.generations[r.generation].live || ageOf(now, r.timestamp) > maxAgeTicks) {
			*r = denseEntry{}
		}
	}
}

// moveToDense moves the entries of a block from its bucket to a dense set. It
// returns false if all dense sets are in use.
func (x *Index) moveToDense(b *bucket, tag uint32, now uint16) bool {
	at := -1
	for i := range x.denseSets {
		if !x.denseSets[i].inUse {
			at = i
			break
		}
	}
	if at < 0 {
		return false
	}
	s := &x.denseSets[at]
	s.inUse = true
	s.updatedAt = now
	clear(s.entries)
	marker := -1
	for i := range b {
		e := &b[i]
		if e.generation == noGeneration || e.tag != tag {
			continue
		}
		if x.generations[e.generation].live {
			s.add(x.generations[e.generation].endpoint, e.generation, e.timestamp)
		}
		*e = entry{}
		marker = i
	}
	s.updatedAt = now
	b[marker] = entry{tag: tag, generation: denseMarker, timestamp: uint16(at)}
	return true
}
