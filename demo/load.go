package demo

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/carawaystile/carawaystile/prefix"
	"github.com/carawaystile/carawaystile/standin"
	"github.com/carawaystile/carawaystile/tables"
)

const ownerLine = "\norganisation: "

// owner reads from a prompt whose it is. The stand-ins use it to notice when a
// request profits from another organisation's cache.
func owner(prompt string) string {
	at := strings.LastIndex(prompt, ownerLine)
	if at < 0 {
		return ""
	}
	return prompt[at+len(ownerLine):]
}

// item is one request of the load.
type item struct {
	number  int
	profile tables.ProfileName
	org     string
	due     time.Duration
	// Completions have a prompt.
	model  tables.ModelName
	prompt string
	tokens int
	stream bool
	// leaveAfter is after how many tokens the caller goes away; 0 means never.
	leaveAfter int
	// Calls have a service, a name and a body; key is set for work that must
	// run once, and resend says that the caller sends it again through another
	// instance.
	service tables.ServiceName
	call    string
	body    string
	key     string
	resend  bool
	// poisoned requests crash every engine that runs them, and are sent again
	// through every instance.
	poisoned bool
}

func (i *item) isCall() bool { return i.service != "" }

// user is one of the two customers' kinds of load.
type user struct {
	model         tables.ModelName
	style         string
	organisations []string
	quick, slow   tables.ProfileName
	once          tables.ProfileName
	service       tables.ServiceName
	onceCall      string
	lookup        tables.ProfileName
}

func users() []user {
	return []user{
		{
			model: "draft-12b", style: "style rules of the press",
			organisations: []string{"volta-systems", "kente-cloud", "osei-software", "adinkra-labs"},
			quick:         "drafting", slow: "style-check", once: "publishing",
			service: "publish", onceCall: "publish-note", lookup: "past-notes",
		},
		{
			model: "rights-34b", style: "rules of the rights desk",
			organisations: []string{"county-libraries", "valley-schools", "choir-union", "radio-tawe"},
			quick:         "enquiry", slow: "ruling", once: "issuing",
			service: "desk", onceCall: "issue-licence", lookup: "clearances",
		},
	}
}

const (
	vendorsPerOrganisation = 4
	// documentBytes bounds the part of a prompt that is not shared.
	documentBytes = 8 << 10
	minTokens     = 8
	maxTokens     = 48
	// skew makes a few organisations and vendors much hotter than the others.
	skew = 1.4
)

// load makes the requests of a run from its seed.
type load struct {
	random *rand.Rand
	users  []user
	orgs   *rand.Zipf
	vendor *rand.Zipf
}

// newLoad returns the requests of a run in the order in which they are due.
func newLoad(o Options) []item {
	random := rand.New(rand.NewPCG(o.Seed, 0x9e3779b97f4a7c15))
	l := &load{
		random: random,
		users:  users(),
		orgs:   rand.NewZipf(random, skew, 1, uint64(len(users()[0].organisations)-1)),
		vendor: rand.NewZipf(random, skew, 1, vendorsPerOrganisation-1),
	}
	rate := o.Rate
	items := make([]item, o.Requests)
	var due float64
	for n := range items {
		if o.Fault == FaultOverload && n > o.Requests/4 {
			rate = o.Rate * overloadFactor
		}
		due += random.ExpFloat64() / rate
		items[n] = l.next(n)
		items[n].due = time.Duration(due * float64(time.Second))
	}
	if o.Fault == FaultCrash {
		for n := range poisonedRequests {
			l.poison(&items[len(items)/2+n], &l.users[n])
		}
	}
	return items
}

// The shares of each kind of request, in percent.
const (
	shareQuick = 55
	shareSlow  = 20
	shareOnce  = 13
	// shareLeave is how many callers of streams go away early, and shareResend
	// how many callers of once-only work send it again, in percent of theirs.
	shareLeave  = 8
	shareResend = 40
)

func (l *load) next(number int) item {
	u := &l.users[l.random.IntN(len(l.users))]
	i := item{number: number, org: u.organisations[l.orgs.Uint64()]}
	switch kind := l.random.IntN(100); {
	case kind < shareQuick:
		i.profile = u.quick
		l.complete(&i, u)
		i.stream = true
		if l.random.IntN(100) < shareLeave {
			i.leaveAfter = 1 + l.random.IntN(i.tokens)
		}
	case kind < shareQuick+shareSlow:
		i.profile = u.slow
		l.complete(&i, u)
	case kind < shareQuick+shareSlow+shareOnce:
		i.profile = u.once
		i.service = u.service
		i.call = u.onceCall
		i.body = fmt.Sprintf("%s %d for %s", u.onceCall, number, i.org)
		i.key = fmt.Sprintf("key-%d", number)
		i.resend = l.random.IntN(100) < shareResend
	default:
		i.profile = u.lookup
		i.service = u.service
		i.call = "look-up"
		i.body = fmt.Sprintf("number %d", l.random.IntN(50))
	}
	return i
}

// complete gives an item a prompt of three nested levels: the style that is
// the same for all organisations of a user, a vendor's book, and the document.
func (l *load) complete(i *item, u *user) {
	vendor := l.vendor.Uint64()
	var b strings.Builder
	writePiece(&b, u.style)
	writePiece(&b, fmt.Sprintf("book %d of %s", vendor, i.org))
	if i.profile == u.slow {
		writePiece(&b, fmt.Sprintf("long rules of book %d of %s", vendor, i.org))
	}
	fmt.Fprintf(&b, "document %d ", i.number)
	b.WriteString(strings.Repeat("word ", l.random.IntN(documentBytes/len("word "))))
	b.WriteString(ownerLine + i.org)
	i.model = u.model
	i.prompt = b.String()
	i.tokens = minTokens + l.random.IntN(maxTokens-minTokens)
}

// writePiece writes exactly one cache piece of text.
func writePiece(b *strings.Builder, about string) {
	end := b.Len() + prefix.BlockBytes
	for b.Len() < end {
		line := about + "\n"
		b.WriteString(line[:min(len(line), end-b.Len())])
	}
}

// poisonedRequests is how many requests crash engines, one of each user, at the
// same time.
const poisonedRequests = 2

func (l *load) poison(i *item, u *user) {
	*i = item{number: i.number, due: i.due, org: u.organisations[0], profile: u.quick, stream: true, poisoned: true}
	l.complete(i, u)
	i.prompt = standin.PoisonMark + i.prompt
}
