package soak

import (
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/carawaystile/carawaystile/platform/platformtest"
	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/tables"
)

// judge holds everything that was seen against what is promised.
func (l *ledger) judge() {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]*request, 0, len(l.requests))
	for _, r := range l.requests {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *request) int { return a.sent.Compare(b.sent) })
	for _, r := range all {
		l.judgeAnswer(r)
		l.judgeRuns(r)
		l.judgeDrain(r)
	}
	l.judgeEndings(all)
	l.judgeNumbers(all)
	if l.timed {
		l.judgeInForce(all)
	}
	l.judgeRepeats(all)
	l.judgeSoftware(all)
	l.judgeUsage(all)
	l.judgeLimits(all)
	l.judgePushbacks(all)
	l.judgeAnnouncedDrains(all)
	l.judgePoison(all)
	l.judgeBadParts(all)
	if l.capacity {
		l.judgeCapacity(all)
	}
	l.judgeOrders()
}

// judgeAnswer checks what the caller got.
func (l *ledger) judgeAnswer(r *request) {
	if r.result.Violation != "" {
		l.breachLocked("answers are an endpoint's own", r.ID, "%s", r.result.Violation)
	}
	switch r.result.Status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		if !r.result.Forwarded {
			l.breachLocked("proper requests are allowed", r.ID, "to %s was answered %d", r.entry.Name, r.result.Status)
		}
	}
	once := r.kind.route.Kind == routes.AtMostOnce || r.kind.route.Kind == routes.Stream && !r.kind.route.Resumable
	begun := r.begunRuns()
	if once && len(begun) > 1 {
		l.breachLocked("work runs at most once", r.ID, "ran at %s and at %s", begun[0].Endpoint, begun[1].Endpoint)
	}
	if once && r.result.NotExecuted() && !r.result.Forwarded && len(r.runs) > 0 {
		l.breachLocked("what is refused has not run", r.ID, "was answered %d and ran at %s", r.result.Status, r.runs[0].Endpoint)
	}
	if len(begun) > r.kind.route.MaxAttempts {
		l.breachLocked("attempts are bounded", r.ID, "ran %d times", len(begun))
	}
}

// judgeRuns checks what endpoints got.
func (l *ledger) judgeRuns(r *request) {
	for _, run := range r.runs {
		expected := map[string]string{keyAlone: alone, keyCommon: common}[r.Key]
		wrong := ""
		switch {
		case run.Method != http.MethodPost || run.Target != r.Path || run.Host != r.Host || run.Body != platformtest.Digest(r.Body):
			wrong = "reached it changed"
		case run.Model != r.Model || run.Tokens != r.Tokens || run.Prefix != r.Prefix:
			wrong = "reached it with another description of its prompt"
		case run.Key != "":
			wrong = "reached it with the caller's key"
		case len(run.Reserved) > 0:
			wrong = "reached it with the caller's own " + strings.Join(run.Reserved, ", ")
		case r.Key == keyProbe && numberOf(run.Organisation) == 0, r.Key != keyProbe && run.Organisation != expected:
			wrong = "reached it as organisation " + run.Organisation
		case run.Service != r.kind.service:
			wrong = "is none of service " + run.Service
		case run.StaleCache:
			wrong = "used a prompt cached under other weights"
		}
		for _, other := range run.ForeignOrganisations {
			if run.Organisation == alone || other == alone {
				wrong = "used a prompt cached for " + other
			}
		}
		if wrong != "" {
			l.breachLocked("requests run as they were sent", r.ID, "at %s %s", run.Endpoint, wrong)
		}
	}
}

// disruptedFor is how long after an unplanned disruption what breaks is still
// its effect.
const disruptedFor = 4 * time.Second

// judgeDrain checks that planned work alone costs no caller an answer.
func (l *ledger) judgeDrain(r *request) {
	if r.result.Err == nil || r.cancelled || len(r.runs) == 0 {
		return
	}
	if r.life == r.lifeEnd || l.unplanned(r.sent.Add(-disruptedFor), r.done) {
		return
	}
	for _, d := range l.disruptions {
		if d.planned && d.what == "restart an entry" && d.from.Before(r.done) && (d.to.IsZero() || d.to.After(r.sent)) {
			l.breachLocked("a drain cuts nothing", r.ID, "lost its answer at %s: %v", r.entry.Name, r.result.Err)
			return
		}
	}
}

// unplanned says whether anything unplanned was wrong in a span of time.
func (l *ledger) unplanned(from, to time.Time) bool {
	for _, d := range l.disruptions {
		if !d.planned && d.overlaps(from, to) {
			return true
		}
	}
	return false
}

// judgeNumbers checks that no life of an instance goes back to an older
// configuration.
func (l *ledger) judgeNumbers(all []*request) {
	type life struct {
		entry *instance
		n     int
	}
	type seen struct {
		at     time.Time
		number uint64
		id     string
	}
	effects := map[life][]seen{}
	for _, r := range all {
		if r.life != r.lifeEnd {
			continue
		}
		at := life{r.entry, r.life}
		for _, run := range r.runs {
			number := numberOf(run.Organisation)
			if number == 0 {
				continue
			}
			for _, before := range effects[at] {
				if before.at.Before(r.sent) && before.number > number {
					l.breachLocked("configurations do not go back", r.ID, "to %s was handled under %d, after %s under %d",
						r.entry.Name, number, before.id, before.number)
					break
				}
			}
			// Only the highest of late matter: keep one for each number.
			known := effects[at]
			if len(known) == 0 || known[len(known)-1].number < number {
				effects[at] = append(known, seen{at: run.At, number: number, id: r.ID})
			}
		}
	}
}

const (
	// inForceWithin is how long after its acknowledgement a configuration may not
	// be in force yet, and settling how much longer while control instances were
	// kept from one another.
	inForceWithin = 3 * time.Second
	settling      = 6 * time.Second
	// calmBefore is how long before an acknowledgement nothing else may have been
	// wrong for the bound to hold.
	calmBefore = 4 * time.Second
)

// judgeInForce checks that no request is handled under a configuration that was
// replaced long before, also while some control instances miss changes.
func (l *ledger) judgeInForce(all []*request) {
	for _, r := range all {
		for _, run := range r.runs {
			number := numberOf(run.Organisation)
			newer := l.replacedBy(number, r.sent)
			if number == 0 || newer == nil || l.troubled(newer.acked.Add(-calmBefore), r.sent) {
				continue
			}
			bound := inForceWithin
			if l.unplanned(newer.acked.Add(-calmBefore), r.sent) {
				bound += settling
			}
			if late := r.sent.Sub(newer.acked); late > bound {
				l.breachLocked("changes are in force in time", r.ID, "to %s was handled under %d, %v after %d was acknowledged",
					r.entry.Name, number, late, newer.number)
			}
		}
	}
}

// replacedBy is the acknowledged configuration with a higher number that was
// acknowledged first, nil if there was none before the given time.
func (l *ledger) replacedBy(number uint64, before time.Time) *document {
	var first *document
	for _, d := range l.documents {
		if d.number <= number || d.acked.IsZero() || d.acked.After(before) {
			continue
		}
		if first == nil || d.acked.Before(first.acked) {
			first = d
		}
	}
	return first
}

// troubled says whether in a span of time anything unplanned was wrong with the
// system beyond control instances kept from one another.
func (l *ledger) troubled(from, to time.Time) bool {
	return slices.ContainsFunc(l.disruptions, func(d disruption) bool {
		return !d.planned && !d.outside && !d.control && d.overlaps(from, to)
	})
}

// overlaps says whether the disruption lasted at any time of a span.
func (d disruption) overlaps(from, to time.Time) bool {
	return d.from.Before(to) && (d.to.IsZero() || d.to.After(from))
}

// judgeRepeats checks the bound on second sends that all instances share. A send counts at the
// service whose process it reached.
func (l *ledger) judgeRepeats(all []*request) {
	for _, service := range []string{serviceModels, serviceDesk} {
		var asked, repeated []time.Time
		for _, r := range all {
			if r.kind.service == service {
				asked = append(asked, r.sent)
			}
			for i, a := range r.arrivals {
				if i > 0 && a.Service == service {
					repeated = append(repeated, a.At)
				}
			}
		}
		slices.SortFunc(repeated, time.Time.Compare)
		for i := range repeated {
			from, to := repeated[i], repeated[i].Add(retryWindow)
			again := within(repeated, from, to)
			first := max(within(asked, from, to), within(asked, from.Add(-retryWindow), from), within(asked, from.Add(-retryWindow/2), to.Add(-retryWindow/2)))
			if float64(again) > retryRatio*float64(first)+retryExtra {
				l.breachLocked("repeats are bounded", "", "%d second sends to %s for %d requests within %v", again, service, first, retryWindow)
				break
			}
		}
	}
}

func within(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

const (
	// poisonRuns is how many endpoints a request may crash before all instances
	// know it, and poisonKnown how long they may take to know.
	poisonRuns  = 3
	poisonKnown = 3 * time.Second
)

// judgePoison checks that a request that crashed enough endpoints gets no more.
func (l *ledger) judgePoison(all []*request) {
	var crashed []time.Time
	for _, r := range all {
		if r.Path != poisonPath {
			continue
		}
		for _, run := range r.runs {
			crashed = append(crashed, run.At)
		}
	}
	slices.SortFunc(crashed, time.Time.Compare)
	late := 0
	for i, at := range crashed {
		if i >= poisonRuns && at.Sub(crashed[poisonRuns-1]) > poisonKnown && !l.unplannedBut(at.Add(-poisonKnown), at) {
			late++
		}
	}
	if late > poisonRuns {
		l.breachLocked("what crashes endpoints is kept off", "", "it ran %d times more, long after the third crash", late)
	}
}

// unplannedBut is unplanned, without the crashing requests themselves.
func (l *ledger) unplannedBut(from, to time.Time) bool {
	for _, d := range l.disruptions {
		if !d.planned && d.what != "a request that crashes endpoints" && d.what != badPartFault && d.from.Before(to) && (d.to.IsZero() || d.to.After(from)) {
			return true
		}
	}
	return false
}

// judgeOrders checks that one instance at a time gives orders.
func (l *ledger) judgeOrders() {
	type use struct {
		fence tables.FencingToken
		from  netip.Addr
	}
	holders := map[tables.FencingToken]use{}
	for _, o := range l.orders {
		before, known := holders[o.Fence]
		if known && before.from != o.From {
			l.breachLocked("one holder orders at a time", "", "%s and %s ordered with fence %d", before.from, o.From, o.Fence)
		}
		holders[o.Fence] = use{fence: o.Fence, from: o.From}
	}
}
