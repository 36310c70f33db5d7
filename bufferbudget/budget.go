// Package bufferbudget accounts for the bytes that an instance holds for callers and endpoints
// that read slowly. One budget covers all kinds of bytes and is divided into accounts, one for
// each organisation. A reservation beyond the budget fails or waits; to make room, the reader
// that has made no progress for the longest is chosen from the account with the most bytes.
//
// The package only counts: it starts no goroutine and reads no clock.
package bufferbudget

import (
	"sync"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// Kind says what bytes are held for.
type Kind int

// The kinds of bytes.
const (
	RequestBody Kind = iota
	Response
	Stream
	Relay
	// Header is what connections hold for the headers of their requests, and ResponseHeader what requests hold for
	// those of their responses.
	Header
	ResponseHeader
	kindCount
)

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{RequestBody, Response, Stream, Relay, Header, ResponseHeader} }

func (k Kind) String() string {
	return [kindCount]string{"request", "response", "stream", "relay", "header", "response_header"}[k]
}

// minStall is how long a reader must have made no progress before it is evicted. A caller that
// reads at normal speed makes progress within a round trip, or within a second if a packet is
// sent again. Endpoints cut off a response that is unread for some seconds, which is longer.
const minStall = time.Second

// maxQueueShare is the share of the budget that buffered responses and queues of streams may
// occupy. The rest is for request bodies and relayed connections: otherwise one organisation's
// slow readers would have the requests of all organisations rejected.
const maxQueueShare = 0.75

// headerShareDivisor is the inverse of the share of the budget that headers of each kind may occupy. This share is
// theirs also while the rest of the budget is used up: a request without a body is served then.
const headerShareDivisor = 4

const (
	// smallBodyBytes is the size up to which a request body may use the whole budget. Larger ones leave a part of it to
	// small ones while others hold bytes: a few callers that stop in long bodies would otherwise have all requests
	// rejected. smallBodyDivisor is the inverse of that part.
	smallBodyBytes   = 64 << 10
	smallBodyDivisor = 8
)

// Budget is a number of bytes that holders share. It is safe for concurrent use.
type Budget struct {
	limit, queueLimit, headerLimit int64

	mu       sync.Mutex
	used     int64
	byKind   [kindCount]int64
	accounts map[string]*account
	// evicting counts the bytes of evicted holders that are not closed yet.
	evicting int64
	// waiters are in order of arrival.
	waiters []*Waiter
	// overLimit is the response that may exceed the budget; nil for none.
	overLimit *Holder
}

// account is the share of one organisation. bytes does not include evicted holders.
type account struct {
	name    string
	bytes   int64
	holders map[*Holder]struct{}
}

// New returns an unused budget of so many bytes.
func New(limit int64) *Budget {
	return &Budget{
		limit: limit, queueLimit: int64(maxQueueShare * float64(limit)), headerLimit: limit / headerShareDivisor,
		accounts: map[string]*account{},
	}
}

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// HeaderLimit returns the bytes that headers of each kind may occupy.
func (b *Budget) HeaderLimit() int64 { return b.headerLimit }

// Used returns the bytes that all holders have reserved.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// UsedBy returns the bytes of one kind.
func (b *Budget) UsedBy(k Kind) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.byKind[k]
}

// mayWait reports whether reservations of this kind may wait: the bytes are those of an endpoint
// that is not read meanwhile.
func (k Kind) mayWait() bool { return k == Response || k == Stream }

// fits reports whether there is room for so many bytes, given that others are given back soon.
// The caller holds the mutex.
func (b *Budget) fits(kind Kind, bytes, givenBack int64) bool {
	if kind == Header || kind == ResponseHeader {
		return b.byKind[kind]+bytes <= b.headerLimit
	}
	if kind.mayWait() && b.byKind[Response]+b.byKind[Stream]-givenBack+bytes > b.queueLimit {
		return false
	}
	return b.used-givenBack+bytes <= b.limit
}

// fitsBody does what fits does for a holder's next bytes, and leaves room for small bodies if it is a large one. The
// caller holds the mutex.
func (b *Budget) fitsBody(held, bytes, givenBack int64) bool {
	others := b.used - b.byKind[Header] - b.byKind[ResponseHeader] - givenBack - held
	if held+bytes > smallBodyBytes && others > 0 && b.used-givenBack+bytes > b.limit-b.limit/smallBodyDivisor {
		return false
	}
	return b.fits(RequestBody, bytes, givenBack)
}

// FirstWaiting returns the bytes of the reservation that is served next; 0 for none.
func (b *Budget) FirstWaiting() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiters) == 0 {
		return 0
	}
	return b.waiters[b.nextWaiter()].bytes
}

// Open returns a holder without bytes that belongs to the account. It must be closed.
func (b *Budget) Open(name string, kind Kind) *Holder {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accounts[name]
	if a == nil {
		a = &account{name: name, holders: map[*Holder]struct{}{}}
		b.accounts[name] = a
	}
	h := &Holder{budget: b, account: a, kind: kind}
	a.holders[h] = struct{}{}
	return h
}

// Victim is an evicted reader.
type Victim struct {
	Account string
	Kind    Kind
	// Bytes is what the reader held.
	Bytes int64
	// Stalled is how long it had made no progress.
	Stalled time.Duration
	// Disconnect is the function that was given to Evictable.
	Disconnect func()
}

// Evict chooses readers whose end makes room for so many bytes of a kind, given those that were evicted
// before and have not been closed yet. It returns fewer if there are no more stalled readers, and
// none for more bytes than the whole budget. The caller must call Disconnect of each one.
func (b *Budget) Evict(now tables.Instant, kind Kind, bytes int64) []Victim {
	b.mu.Lock()
	defer b.mu.Unlock()
	var victims []Victim
	if bytes > b.limit || kind.mayWait() && bytes > b.queueLimit {
		return nil
	}
	fits := func() bool {
		if kind == RequestBody {
			return b.fitsBody(0, bytes, b.evicting)
		}
		return b.fits(kind, bytes, b.evicting)
	}
	for !fits() {
		h := b.nextVictim(now)
		if h == nil {
			break
		}
		h.evicted = true
		h.account.bytes -= h.bytes
		b.evicting += h.bytes
		victims = append(victims, Victim{
			Account: h.account.name, Kind: h.kind, Bytes: h.bytes, Stalled: now - h.progressAt, Disconnect: h.disconnect,
		})
	}
	return victims
}

// nextVictim returns the longest stalled reader of the account with the most bytes that has one,
// or nil.
func (b *Budget) nextVictim(now tables.Instant) *Holder {
	var victim *Holder
	for _, a := range b.accounts {
		if victim != nil && a.bytes <= victim.account.bytes {
			continue
		}
		if h := a.longestStalled(now); h != nil {
			victim = h
		}
	}
	return victim
}

// longestStalled returns the account's reader that has made no progress for the longest, and for
// at least minStall, or nil.
func (a *account) longestStalled(now tables.Instant) *Holder {
	var longest *Holder
	for h := range a.holders {
		if h.disconnect == nil || h.evicted || h.bytes == 0 || now-h.progressAt < minStall {
			continue
		}
		if longest == nil || h.progressAt < longest.progressAt {
			longest = h
		}
	}
	return longest
}
