package streamorigin

import (
	"context"
	"net/netip"
	"time"

	"github.com/carawaystile/carawaystile/internal/batch"
	"github.com/carawaystile/carawaystile/systems/membership"
)

const (
	// findTimeout bounds the lookup of an origin: the client of a resumption waits for it.
	findTimeout = 200 * time.Millisecond
	// maxQuestions bounds the requests and services of one call to an instance, and maxLookups the
	// instances for which calls are combined.
	maxQuestions = 200
	maxLookups   = 1 << 10
)

// Answer is what an instance knows about the requests and services of a question.
type Answer struct {
	// Origins holds the versions that began the streams of the known requests.
	Origins  map[string]string
	Services map[string]Seen
}

// Finding is what is known about the origin of a stream.
type Finding struct {
	Software string
	// Known is set if Software began the stream.
	Known bool
	// Seen is what this instance and those that have answered have seen of the service. It is
	// complete only if another instance vouches for it, unless there is no other.
	Seen Seen
}

// question is a request whose stream's origin is asked for, empty for none, and its service.
type question struct{ request, service string }

// lookupAnswer is the answer of one instance to a question.
type lookupAnswer struct {
	software string
	known    bool
	seen     Seen
}

// Find looks up which version began a request's stream, at all instances and archives that may know it.
// It returns as soon as one does.
func (d *Directory) Find(ctx context.Context, request, service string) Finding {
	request = identify(request)
	if software, known := d.table.Find(request); known && request != "" {
		return Finding{Software: software, Known: true}
	}
	found := Finding{Seen: d.options.Seen(service)}
	asked := append(d.instancesToAsk(request), d.options.Archives()...)
	if len(asked) == 0 {
		return found
	}
	found.Seen.Complete = false
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	answers := make(chan lookupAnswer, len(asked))
	for _, instance := range asked {
		go func() {
			answer, _, err := d.lookup(instance).Do(ctx, question{request, service})
			if err != nil {
				answer = lookupAnswer{}
			}
			answers <- answer
		}()
	}
	for range asked {
		answer := <-answers
		if answer.known {
			d.table.Record(d.options.Now(), Origin{Request: request, Software: answer.software})
			return Finding{Software: answer.software, Known: true}
		}
		found.Seen = found.Seen.merge(answer.seen)
	}
	return found
}

// lookup returns what combines the questions to an instance: after a failure, all clients of an instance
// may resume their streams at once.
func (d *Directory) lookup(instance membership.EntryInstance) *batch.Caller[question, lookupAnswer] {
	d.mu.Lock()
	defer d.mu.Unlock()
	caller := d.lookups[instance.Control]
	if caller == nil {
		if d.lookups == nil || len(d.lookups) >= maxLookups {
			d.lookups = map[netip.AddrPort]*batch.Caller[question, lookupAnswer]{}
		}
		caller = batch.NewCaller(func(ctx context.Context, questions []question) (map[question]lookupAnswer, error) {
			return d.ask(ctx, instance, questions)
		}, findTimeout, maxQuestions)
		d.lookups[instance.Control] = caller
	}
	return caller
}

func (d *Directory) ask(ctx context.Context, instance membership.EntryInstance, questions []question) (map[question]lookupAnswer, error) {
	var requests, services []string
	isAsked := map[string]bool{}
	for _, q := range questions {
		if q.request != "" {
			requests = append(requests, q.request)
		}
		if !isAsked[q.service] {
			isAsked[q.service] = true
			services = append(services, q.service)
		}
	}
	answer, err := d.options.Ask(ctx, instance, requests, services)
	if err != nil {
		return nil, err
	}
	answers := make(map[question]lookupAnswer, len(questions))
	for _, q := range questions {
		software, known := answer.Origins[q.request]
		answers[q] = lookupAnswer{software: software, known: known && q.request != "", seen: answer.Services[q.service]}
	}
	return answers, nil
}
