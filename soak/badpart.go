package soak

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/carawaystile/carawaystile/platform/platformtest"
)

const (
	badPartFault = "a part of prompts that crashes endpoints"
	// badPartMark in a path tells endpoints that the prompt has a part that crashes them.
	badPartMark = "/badpart-"
	// badPartFor is how long requests with the part come, one each badPartInterval.
	badPartFor      = 14 * time.Second
	badPartInterval = 100 * time.Millisecond
	// badPartCrashes is how many endpoints a part may crash before all instances know it, badPartKnown
	// how long they may take to know, and badPartLate how many requests may reach endpoints later.
	badPartCrashes = 5
	badPartKnown   = 3 * time.Second
	badPartLate    = 3
	// minSoundRequests is the number of requests from which shares are compared.
	minSoundRequests = 20
)

// crashByPart sends requests that crash what runs them, with one part of the prompt in common and
// other parts that sound requests have too.
func crashByPart(s *strike) {
	part := fmt.Sprintf("fa%06x", s.rng.IntN(1<<24))
	var sending []chan struct{}
	for began := time.Now(); time.Since(began) < badPartFor; time.Sleep(badPartInterval) {
		entry, first, second, sent := s.entry(), s.rng.IntN(2), s.rng.IntN(8), make(chan struct{})
		sending = append(sending, sent)
		go func() {
			defer close(sent)
			ctx, cancel := context.WithTimeout(context.Background(), callerWait+callerSlack)
			defer cancel()
			s.load.crashByPart(ctx, entry, part, fmt.Sprintf("b%d:2000,c%d:600,%s:90", first, second, part))
		}()
	}
	for _, sent := range sending {
		<-sent
	}
}

// crashByPart sends one request whose prompt begins with the given parts.
func (l *load) crashByPart(ctx context.Context, entry *instance, part, prefix string) {
	serial := l.serial.Add(1)
	k := kinds[len(kinds)-1]
	r := &request{kind: k, entry: entry, badPart: part, ClientRequest: platformtest.ClientRequest{
		ID: fmt.Sprintf("f%x-%x", l.d.options.Seed, serial), Host: host, Path: fmt.Sprintf("/draft%s%d", badPartMark, serial),
		Body: fmt.Appendf(nil, "body %d", serial), Timeout: callerWait, Tokens: k.tokens, Key: keyCommon,
		Model: model, Prefix: fmt.Sprintf("%s,u%d:40", prefix, serial),
	}}
	client := newCaller()
	l.exchange(ctx, client, r, false)
	client.CloseIdleConnections()
}

// judgeBadParts checks that requests with a part that has crashed enough endpoints get to no more,
// and that sound requests are served beside them.
func (l *ledger) judgeBadParts(all []*request) {
	byPart := map[string][]*request{}
	for _, r := range all {
		if r.badPart != "" {
			byPart[r.badPart] = append(byPart[r.badPart], r)
		}
	}
	var trials []span
	besides := map[string]span{}
	for part, requests := range byPart {
		crashes := crashTimes(requests)
		if len(crashes) == 0 {
			continue
		}
		last := crashes[min(len(crashes), badPartCrashes)-1]
		if late := l.countLate(crashes, last.Add(badPartKnown)); late > badPartLate {
			l.breachLocked("parts of prompts that crash endpoints are kept off", "", "part %s crashed %d endpoints, %d of them late", part, len(crashes), late)
		}
		besides[part] = span{last.Add(2 * badPartKnown), requests[len(requests)-1].sent}
		trials = append(trials, span{crashes[0], last.Add(2 * badPartKnown)})
	}
	for _, beside := range besides {
		l.judgeSoundBeside(all, beside, trials)
	}
}

// span is a time from its first moment until before its last.
type span struct{ from, to time.Time }

func (s span) contains(at time.Time) bool { return !at.Before(s.from) && at.Before(s.to) }

// crashTimes returns when endpoints began to run the requests, each of which crashes one.
func crashTimes(requests []*request) []time.Time {
	var crashes []time.Time
	for _, r := range requests {
		for _, run := range r.runs {
			crashes = append(crashes, run.At)
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	return crashes
}

// countLate counts the times after the given one with no disruption shortly before.
func (l *ledger) countLate(times []time.Time, after time.Time) int {
	late := 0
	for _, at := range times {
		if at.After(after) && !l.unplannedBut(at.Add(-badPartKnown), at) {
			late++
		}
	}
	return late
}

// judgeSoundBeside compares how many sound requests with the same key as the bad ones began to run
// in a span with the share at other times. While a part is tried again endpoints crash because of other parts that
// are not known yet.
func (l *ledger) judgeSoundBeside(all []*request, during span, trials []span) {
	var beside, otherwise [2]int // begun, sent
	for _, r := range all {
		if r.badPart != "" || r.cancelled || r.Key != keyCommon || !strings.HasPrefix(r.Path, "/draft/") || l.unplannedBut(r.sent.Add(-badPartKnown), r.done) {
			continue
		}
		count := &otherwise
		if during.contains(r.sent) {
			count = &beside
			if containsAny(trials, r.sent) {
				continue
			}
		} else if l.unplanned(r.sent.Add(-badPartKnown), r.done) {
			continue
		}
		count[1]++
		if len(r.runs) > 0 {
			count[0]++
		}
	}
	if beside[1] < minSoundRequests || otherwise[1] < minSoundRequests {
		return
	}
	if 2*beside[0]*otherwise[1] < otherwise[0]*beside[1] {
		l.breachLocked("sound requests are served beside bad ones", "", "%d of %d began to run, %d of %d at other times", beside[0], beside[1], otherwise[0], otherwise[1])
	}
}

func containsAny(spans []span, at time.Time) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return s.contains(at) })
}
