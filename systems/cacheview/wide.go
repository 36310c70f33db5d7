package cacheview

import "github.com/carawaystile/carawaystile/tables"

// wideRow says that one endpoint holds the block of a wide set.
type wideRow struct {
	home  homeID
	stamp uint16
}

// wideSet holds the homes of a block that very many endpoints have, by
// endpoint. A prefix shared by all requests of a model is of this kind.
type wideSet struct {
	rows    []wideRow
	touched uint16
	used    bool
}

func (s *wideSet) add(index tables.EndpointIndex, id homeID, now uint16) bool {
	for int(index) >= len(s.rows) {
		s.rows = append(s.rows, wideRow{})
	}
	fresh := s.rows[index].home != id
	s.rows[index] = wideRow{home: id, stamp: now}
	s.touched = now
	return fresh
}

func (s *wideSet) remove(index tables.EndpointIndex, id homeID) {
	if int(index) < len(s.rows) && s.rows[index].home == id {
		s.rows[index] = wideRow{}
	}
}

func (s *wideSet) sweep(v *Index, now uint16) {
	for i := range s.rows {
		r := &s.rows[i]
		if r.home != noHome && (!v.homes[r.home].live || ageOf(now, r.stamp) > maxAge) {
			*r = wideRow{}
		}
	}
}

// widen moves a block's rows out of its bucket into a wide set. It fails when
// all sets are in use.
func (v *Index) widen(b *bucket, tag uint32, now uint16) bool {
	at := -1
	for i := range v.wide {
		if !v.wide[i].used {
			at = i
			break
		}
	}
	if at < 0 {
		return false
	}
	s := &v.wide[at]
	s.used = true
	s.touched = now
	clear(s.rows)
	marker := -1
	for i := range b {
		e := &b[i]
		if e.home == noHome || e.tag != tag {
			continue
		}
		if v.homes[e.home].live {
			s.add(v.homes[e.home].endpoint, e.home, e.stamp)
		}
		*e = row{}
		marker = i
	}
	s.touched = now
	b[marker] = row{tag: tag, home: wideHome, stamp: uint16(at)}
	return true
}
