package forward

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	simulatedRate   = 32.0
	simulatedDecode = 300 * time.Millisecond
	simulatedStep   = time.Millisecond
)

// workload is one kind of requests of one organisation in a simulated load.
type workload struct {
	organisation string
	priority     int
	prompt       int
	target       time.Duration
	perSecond    float64
	// from and until bound the time of arrivals.
	from, until tables.Instant
}

// simulatedRequest is a request in a simulation; its times are 0 if they did not come.
type simulatedRequest struct {
	waiter                               waiter
	instance                             *simulatedInstance
	dispatch                             dispatch.Request
	attempt                              *dispatch.Attempt
	startedAt, firstEventAt, endsAt      tables.Instant
	rejectedAt                           tables.Instant
	retryAfter                           time.Duration
	rejectedOnArrival, started, answered bool
}

// simulatedEngine computes prompts one after the other.
type simulatedEngine struct {
	queue []*simulatedRequest
	left  float64
	busy  time.Duration
	runs  []*simulatedRequest
}

// simulation plays a load against the decisions of some instances, in virtual time and without a
// network.
type simulation struct {
	now      tables.Instant
	dispatch *dispatch.Dispatcher
	service  *routes.Service
	urgent   time.Duration
	engines  map[tables.EndpointID]*simulatedEngine
	requests []*simulatedRequest
	random   *rand.Rand
	// instances receive the requests round-robin. One of them, or a scheduler, places all of them.
	instances []*simulatedInstance
}

// simulatedInstance is an instance with its waiting queue.
type simulatedInstance struct {
	queue   *waitQueue
	waiting map[*waiter]*simulatedRequest
	// placing is the request that asks, and answerAt when it gets the answer.
	placing  *simulatedRequest
	answerAt tables.Instant
}

func newSimulation(engines, instances int) *simulation {
	s := &simulation{
		now: time.Second, urgent: 400 * time.Millisecond, random: rand.New(rand.NewPCG(1, 2)),
		service:  &routes.Service{Name: "models", Slots: 64, KVCapacityTokens: 400_000, Models: []string{"m"}},
		dispatch: dispatch.New(dispatch.Options{Zone: "a", Seed: 1}), engines: map[tables.EndpointID]*simulatedEngine{},
	}
	for range instances {
		s.instances = append(s.instances, &simulatedInstance{queue: newWaitQueue(), waiting: map[*waiter]*simulatedRequest{}})
	}
	listed := map[tables.EndpointID]fleet.Endpoint{}
	for i := range engines {
		id := tables.EndpointID(fmt.Sprintf("e%d", i))
		s.engines[id] = &simulatedEngine{}
		listed[id] = fleet.Endpoint{ID: id, Service: "models", Zone: "a", Slots: 64, Weights: map[string]uint64{"m": 1},
			Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+i))}
	}
	s.dispatch.SetEndpoints(listed)
	return s
}

// run plays the workloads until the end.
func (s *simulation) run(until tables.Instant, load ...workload) {
	for s.now < until {
		s.now += simulatedStep
		s.stepEngines()
		for _, w := range load {
			if s.now >= w.from && s.now < w.until && s.random.Float64() < w.perSecond*simulatedStep.Seconds() {
				s.arrive(w)
			}
		}
		for _, instance := range s.instances {
			s.stepQueue(instance)
		}
	}
}

func (s *simulation) arrive(w workload) {
	r := &simulatedRequest{waiter: waiter{
		organisation: w.organisation, priority: w.priority, prompt: w.prompt, output: 50, target: w.target, arrivedAt: s.now,
	}}
	r.dispatch = dispatch.Request{
		Service: s.service, Route: &routes.Route{TargetLatency: w.target}, Model: "m", PromptTokens: w.prompt, OutputTokens: 50,
		ArrivedAt: s.now, Deadline: s.now + 30*time.Second, UrgentTarget: s.urgent,
	}
	r.waiter.setLimits(s.now, s.dispatch.LeastPrefillTime(&r.dispatch), false)
	s.requests = append(s.requests, r)
	instance := s.instances[len(s.requests)%len(s.instances)]
	r.instance = instance
	if instance.queue.len() == 0 {
		if s.place(r) {
			instance.queue.charge(s.now, &r.waiter)
			return
		}
		instance.queue.full(s.now, &r.waiter, r.dispatch.SaturatedFor)
	}
	predicted, ok := instance.queue.join(s.now, &r.waiter)
	if !ok {
		r.rejectedAt, r.retryAfter, r.rejectedOnArrival = s.now, predicted, true
		return
	}
	instance.waiting[&r.waiter] = r
}

// place places a request and sends it to its engine.
func (s *simulation) place(r *simulatedRequest) bool {
	r.attempt, _ = s.dispatch.Place(s.now, &r.dispatch)
	if r.attempt == nil {
		return false
	}
	r.started, r.startedAt = true, s.now
	engine := s.engines[r.attempt.Endpoint.ID]
	engine.queue = append(engine.queue, r)
	return true
}

// stepQueue rejects what cannot start in time and lets the next request ask.
func (s *simulation) stepQueue(i *simulatedInstance) {
	for w, r := range i.waiting {
		if r != i.placing && s.now >= w.rejectAt() {
			delete(i.waiting, w)
			i.queue.leave(s.now, w)
			r.rejectedAt, r.retryAfter = s.now, i.queue.retryAfter(s.now, w)
		}
	}
	for {
		if r := i.placing; r != nil {
			if s.now < i.answerAt {
				return
			}
			i.placing = nil
			if s.place(r) {
				delete(i.waiting, &r.waiter)
				i.queue.placed(s.now, &r.waiter)
			} else {
				i.queue.full(s.now, &r.waiter, r.dispatch.SaturatedFor)
			}
		}
		next, _ := i.queue.next(s.now)
		if next == nil {
			return
		}
		i.placing, i.answerAt = i.waiting[next], s.now+simulatedStep
	}
}

func (s *simulation) stepEngines() {
	for _, e := range s.engines {
		budget := simulatedRate * float64(simulatedStep/time.Millisecond)
		if len(e.queue) > 0 {
			e.busy += simulatedStep
		}
		for len(e.queue) > 0 && budget > 0 {
			r := e.queue[0]
			if e.left == 0 {
				e.left = float64(r.waiter.prompt)
			}
			done := min(budget, e.left)
			budget, e.left = budget-done, e.left-done
			if e.left == 0 {
				e.queue = e.queue[1:]
				r.answered, r.firstEventAt, r.endsAt = true, s.now, s.now+simulatedDecode
				s.dispatch.RecordResponseStart(s.now, r.attempt)
				e.runs = append(e.runs, r)
			}
		}
		e.runs = slices.DeleteFunc(e.runs, func(r *simulatedRequest) bool {
			if s.now >= r.endsAt {
				s.dispatch.RecordOutcome(s.now, r.attempt, dispatch.Completed)
			}
			return s.now >= r.endsAt
		})
	}
}
