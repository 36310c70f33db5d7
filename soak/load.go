package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/carawaystile/carawaystile/platform/platformtest"
	"github.com/carawaystile/carawaystile/routes"
)

const (
	host = "soak.example"
	// callerWait is the time that a caller gives a request, and callerSlack how much longer it waits for an answer.
	callerWait  = 4 * time.Second
	callerSlack = 2 * time.Second
	// callerPause is between two requests of one caller.
	callerPause = 15 * time.Millisecond
	// usualCallers of an entry instance keep it at some 100 requests a second.
	usualCallers = 5
	// leaves is one in how many callers goes before the answer is there.
	leaves     = 25
	poisonPath = "/safe/poison"
	keyProbe   = "key-probe"
	keyAlone   = "key-alone"
	keyCommon  = "key-common"
	alone      = "alone"
	common     = "common"
)

// kind is a kind of request, with what the configuration says of its route.
type kind struct {
	name    string
	route   routes.Route
	service string
	// tokens is "prompt,most output" of a generation; empty for none.
	tokens string
}

var kinds = []*kind{
	{name: "once", service: serviceDesk, route: routes.Route{Prefix: "/once/", Kind: routes.AtMostOnce, MaxAttempts: 1}},
	{name: "safe", service: serviceDesk, route: routes.Route{Prefix: "/safe/", Kind: routes.Idempotent, MaxAttempts: 2}},
	{name: "check", service: serviceModels, tokens: "9000,6", route: routes.Route{
		Prefix: "/check/", Kind: routes.Stream, MaxAttempts: 1, Inference: true, Priority: 1,
	}},
	{name: "draft", service: serviceModels, tokens: "800,12", route: routes.Route{
		Prefix: "/draft/", Kind: routes.Stream, MaxAttempts: 2, Inference: true, Resumable: true,
	}},
}

// organisationOf is the organisation whose key the probe has under a
// configuration. By it, endpoints see which configuration a request was handled
// under.
func organisationOf(number uint64) string { return fmt.Sprintf("org-%d", number) }

// numberOf is the inverse of organisationOf; zero if it names none.
func numberOf(organisation string) uint64 {
	var number uint64
	if _, err := fmt.Sscanf(organisation, "org-%d", &number); err != nil {
		return 0
	}
	return number
}

// load is callers that send requests until they are stopped.
type load struct {
	d       *deployment
	stop    chan struct{}
	running sync.WaitGroup
	serial  atomic.Uint64
}

// startLoad starts callers at all entry instances. Each stays with the instance
// that its balancer gave it, and keeps its connection, until that breaks.
func startLoad(d *deployment) *load {
	l := &load{d: d, stop: make(chan struct{})}
	callers := usualCallers
	if d.options.Capacity {
		callers = contendedCallers
	}
	for n := range len(d.entries) * callers {
		rng := rand.New(rand.NewPCG(d.options.Seed, 100+uint64(n)))
		l.running.Go(func() { l.call(rng) })
	}
	return l
}

func (l *load) end() {
	close(l.stop)
	l.running.Wait()
}

// call is one caller.
func (l *load) call(rng *rand.Rand) {
	client := newCaller()
	entry := l.balance(rng)
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(callerPause):
		}
		if !l.one(client, rng, entry) {
			client.CloseIdleConnections()
			entry = l.balance(rng)
		}
	}
}

// newCaller keeps one connection, as a caller does.
func newCaller() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}
}

// balance picks an instance that says it is ready, as the balancer does; any if
// there is none.
func (l *load) balance(rng *rand.Rand) *instance {
	order := rng.Perm(len(l.d.entries))
	for _, n := range order {
		if ready(l.d.entries[n]) {
			return l.d.entries[n]
		}
	}
	return l.d.entries[order[0]]
}

var checks = &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

// ready asks an instance whether the balancer may send callers there.
func ready(i *instance) bool {
	resp, err := checks.Get("http://" + i.at(portReady).String() + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// one sends a request and notes what became of it. It says whether the
// connection may be used again.
func (l *load) one(client *http.Client, rng *rand.Rand, entry *instance) bool {
	r := l.ask(rng, entry)
	ctx, cancel := context.WithTimeout(context.Background(), l.wait(r))
	defer cancel()
	early := rng.IntN(leaves) == 0
	if early {
		left := time.AfterFunc(time.Duration(rng.IntN(120))*time.Millisecond, cancel)
		defer left.Stop()
	}
	again := l.exchange(ctx, client, r, early)
	if k := r.kind.route; k.Resumable && !early && r.result.Err != nil && r.result.Events > 0 {
		l.resume(rng, r)
	}
	return again
}

// wait is how long the caller of a request waits: beyond the deadline, so that it sees whether the
// request outlives that.
func (l *load) wait(r *request) time.Duration {
	if l.d.options.Capacity {
		return r.Timeout + callerWait
	}
	return r.Timeout + callerSlack
}

// exchange sends a request and reads its answer.
func (l *load) exchange(ctx context.Context, client *http.Client, r *request, early bool) bool {
	trace := &sendTrace{}
	sending, err := r.Request(trace.attach(ctx), r.entry.at(portCallers))
	if err != nil {
		l.d.ledger.breach("the soak works", r.ID, "cannot be built: %v", err)
		return false
	}
	r.life, _ = r.entry.Life()
	r.sent = time.Now()
	l.d.ledger.sending(r)
	resp, err := client.Do(sending)
	if err != nil {
		l.d.ledger.ended(r, platformtest.Result{Err: err}, trace, early)
		return false
	}
	result := r.CheckResponse(resp)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	l.d.ledger.ended(r, result, trace, early)
	return result.Err == nil && !resp.Close
}

// ask draws a request.
func (l *load) ask(rng *rand.Rand, entry *instance) *request {
	k := kinds[rng.IntN(len(kinds))]
	serial := l.serial.Add(1)
	r := &request{kind: k, entry: entry, ClientRequest: platformtest.ClientRequest{
		ID:   fmt.Sprintf("r%x-%x", l.d.options.Seed, serial),
		Host: host, Path: fmt.Sprintf("%s%d", k.route.Prefix, serial),
		Body:    []byte(fmt.Sprintf("body %d %0*d", serial, rng.IntN(400), 0)),
		Timeout: callerWait, Tokens: k.tokens,
	}}
	r.Key = []string{keyProbe, keyProbe, keyAlone, keyCommon}[rng.IntN(4)]
	if l.d.options.Capacity {
		r.Timeout = k.contendedTimeout()
		if k.route.Inference && !k.route.Resumable {
			r.Tokens = contendedOnceTokens
		}
	}
	if k.route.Inference {
		r.Model = model
		r.Prefix = fmt.Sprintf("b%d:2000,c%d:600,u%d:40", rng.IntN(2), rng.IntN(8), serial)
	}
	return r
}

// poison sends a request that crashes what runs it; it is the same each time.
func (l *load) poison(ctx context.Context, entry *instance) {
	r := &request{kind: kinds[1], entry: entry, ClientRequest: platformtest.ClientRequest{
		ID: fmt.Sprintf("p%x-%x", l.d.options.Seed, l.serial.Add(1)), Host: host, Path: poisonPath,
		Body: []byte("poison"), Timeout: callerWait, Key: keyCommon,
	}}
	client := newCaller()
	l.exchange(ctx, client, r, false)
	client.CloseIdleConnections()
}
