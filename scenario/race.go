package scenario

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"google.golang.org/protobuf/proto"

	"github.com/carawaystile/carawaystile/control/configuration"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// resendPause is the time between two tries of an operator who got no answer.
const resendPause = 50 * time.Millisecond

// race is several operators who apply over one revision at the same time, and a
// watch over the revisions that instances report meanwhile.
type race struct {
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu       sync.Mutex
	accepted []string
	refused  []string
	// newest is the last revision that each instance has reported.
	newest  map[string]uint64
	lowered []string
}

func (r *race) stop() {
	r.cancel()
	r.running.Wait()
}

// weightsChange is a change of the declared weights by an operator of its own.
func weightsChange(ts *testscript.TestScript, version, through string, base uint64) *rpc.ApplyRequest {
	c := *instanceOf(ts, through).options.Declarations
	c.Models = []tables.Model{{Name: model, Weights: tables.WeightsVersion(version)}}
	items, err := configuration.Encode(c)
	check(ts, err)
	return &rpc.ApplyRequest{Operator: "o", Request: "weights-" + version, Base: base, Items: items}
}

func raceOperators(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 3)
	w, base := worldOf(ts), uint64(number(ts, args[0]))
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	r := &race{cancel: cancel, newest: map[string]uint64{}}
	w.race = r
	for _, arg := range args[1:] {
		version, through, _ := strings.Cut(arg, "@")
		request, client := weightsChange(ts, version, through, base), operatorOf(ts, through)
		r.running.Go(func() { r.apply(ctx, client, request, version) })
	}
	for name := range w.instances {
		client := operatorOf(ts, name)
		r.running.Go(func() { r.watch(ctx, name, client) })
	}
}

// apply sends the same change until it gets an answer.
func (r *race) apply(ctx context.Context, client rpc.Operator, request *rpc.ApplyRequest, version string) {
	for ctx.Err() == nil {
		answer, err := client.Apply(ctx, request)
		if err != nil {
			time.Sleep(resendPause)
			continue
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if answer.GetAccepted() != nil {
			r.accepted = append(r.accepted, version)
		} else {
			r.refused = append(r.refused, version)
		}
		return
	}
}

// watch notes when an instance reports a lower revision than before.
func (r *race) watch(ctx context.Context, name string, client rpc.Operator) {
	for ctx.Err() == nil {
		r.look(ctx, name, client)
		time.Sleep(resendPause)
	}
}

func (r *race) look(ctx context.Context, name string, client rpc.Operator) {
	answer, err := client.Status(ctx, &rpc.StatusRequest{})
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.note(name+" replica", answer.GetRevision())
	r.note(name+" in force", inForce(answer))
}

func (r *race) note(what string, revision uint64) {
	if revision < r.newest[what] {
		r.lowered = append(r.lowered, fmt.Sprint(what, ": ", r.newest[what], " to ", revision))
	}
	r.newest[what] = revision
}

func winner(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1)
	w, operators := worldOf(ts), number(ts, args[0])
	r := w.race
	until(ts, "operators have no answer", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.accepted)+len(r.refused) == operators
	})
	if len(r.accepted) != 1 {
		ts.Fatalf("accepted %v, refused %v", r.accepted, r.refused)
	}
	w.sameEverywhere(ts)
	r.stop()
	if len(r.lowered) > 0 {
		ts.Fatalf("revisions went down: %v", r.lowered)
	}
}

// sameEverywhere waits until all instances have the winner's weights in force.
func (w *world) sameEverywhere(ts *testscript.TestScript) {
	want := weightsChange(ts, w.race.accepted[0], w.instanceNames()[0], 0).Items
	for _, name := range w.instanceNames() {
		client := operatorOf(ts, name)
		until(ts, name+" has not the winner", func() bool {
			answer, err := client.Configuration(context.Background(), &rpc.ConfigurationRequest{})
			return err == nil && containsAll(answer.GetItems(), want)
		})
	}
}

func containsAll(items, want []*rpc.Item) bool {
	byName := make(map[string]*rpc.Item)
	for _, item := range items {
		byName[fmt.Sprint(item.GetKind(), item.GetName())] = item
	}
	for _, item := range want {
		if !proto.Equal(byName[fmt.Sprint(item.GetKind(), item.GetName())], item) {
			return false
		}
	}
	return true
}

// applies changes the weights back and forth.
func applies(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 2)
	client := operatorOf(ts, args[1])
	status, err := client.Status(context.Background(), &rpc.StatusRequest{})
	check(ts, err)
	base := status.GetRevision()
	for n := range uint64(number(ts, args[0])) {
		version := weights
		if n%2 == 0 {
			version = newerWeights
		}
		request := weightsChange(ts, version, args[1], base+n)
		request.Request = fmt.Sprint("change-", base+n)
		answer, err := client.Apply(context.Background(), request)
		check(ts, err)
		if got := answer.GetAccepted().GetRevision().GetNumber(); got != base+n+1 {
			ts.Fatalf("change %d: %v", n, answer)
		}
	}
}
