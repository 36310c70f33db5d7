package quarantine

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// usePeriod is the time after which partUses begins a new generation. It remembers a part for
	// one to two periods.
	usePeriod = 5 * time.Minute
	// maxUses bounds the parts of a generation.
	maxUses = 16384
)

// partUse is how a part was used of late.
type partUse struct {
	// attempts counts those that have started.
	attempts int
	// begunAt is when the last completed answer began, valid if proven is set.
	begunAt tables.Instant
	proven  bool
}

// partUses remembers the parts of the prompts that ran of late, in two generations, so that a part
// is found, added and forgotten in constant time.
type partUses struct {
	current, previous map[Part]partUse
	periodBeganAt     tables.Instant
}

// get returns the use of a part in both generations.
func (u *partUses) get(part Part) partUse {
	use, before := u.current[part], u.previous[part]
	use.attempts += before.attempts
	if !use.proven {
		use.begunAt, use.proven = before.begunAt, before.proven
	}
	return use
}

// rotate begins a new generation once the current one is over or full.
func (u *partUses) rotate(now tables.Instant) {
	if u.current == nil || now-u.periodBeganAt >= usePeriod || len(u.current) >= maxUses {
		u.previous, u.current, u.periodBeganAt = u.current, make(map[Part]partUse), now
	}
}

// start counts an attempt.
func (u *partUses) start(now tables.Instant, parts []Part) {
	u.rotate(now)
	for _, part := range parts {
		use := u.current[part]
		use.attempts++
		u.current[part] = use
	}
}

// prove records that an answer to a prompt with the part began at the given time and was completed.
func (u *partUses) prove(part Part, begun tables.Instant) {
	if u.current == nil {
		u.current = make(map[Part]partUse)
	}
	use := u.current[part]
	if !use.proven || begun > use.begunAt {
		use.begunAt, use.proven = begun, true
		u.current[part] = use
	}
}

// provenAt returns when the last completed answer to a prompt with the part began.
func (u *partUses) provenAt(part Part) (begun tables.Instant, proven bool) {
	use := u.get(part)
	return use.begunAt, use.proven
}
