package shares

import (
	"cmp"
	"slices"
	"unique"

	"github.com/carawaystile/carawaystile/tables"
)

// sender is the total that an instance has named or a placer has reported.
type sender struct {
	instance tables.InstanceID
	total    uint64
	// before is the highest total before the last decrease, until it is reached again; 0 for none.
	before uint64
	at     tables.Instant
}

// increase returns by how much a total exceeds the known ones. A lower total may be that of a
// datagram that arrives late: it is no increase, and a later one counts from the total before it.
func (s *sender) increase(total uint64) uint64 {
	if base := s.base(total); total > base {
		return total - base
	}
	return 0
}

// base returns the total from which an increase to another one counts.
func (s *sender) base(total uint64) uint64 {
	if total >= s.before {
		return max(s.total, s.before)
	}
	return s.total
}

// set replaces the total.
func (s *sender) set(now tables.Instant, total uint64) {
	switch {
	case total < s.total:
		s.before = max(s.before, s.total)
	case total >= s.before:
		s.before = 0
	}
	s.total, s.at = total, now
}

// findOrAdd returns the entry of an instance, and whether it is new; nil if count, the number of
// entries of all keys, has reached its limit.
func findOrAdd(in *[]sender, instance tables.InstanceID, count *int, limit int) (*sender, bool) {
	at, found := find(*in, instance)
	if !found {
		if *count >= limit {
			return nil, false
		}
		*count++
		added := sender{instance: tables.InstanceID(unique.Make(string(instance)).Value())}
		// Concat leaves no spare capacity, which would take up to half of the memory.
		*in = slices.Concat((*in)[:at], []sender{added}, (*in)[at:])
	}
	return &(*in)[at], !found
}

// find returns the position of an instance in a list ordered by name.
func find(in []sender, instance tables.InstanceID) (int, bool) {
	return slices.BinarySearchFunc(in, instance, func(s sender, id tables.InstanceID) int { return cmp.Compare(s.instance, id) })
}
