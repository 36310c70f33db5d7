package scenario

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/carawaystile/carawaystile/standin"
	"github.com/carawaystile/carawaystile/tables"
)

// longLines make a prompt of some ten thousand tokens.
const longLines = 1500

type command = func(ts *testscript.TestScript, neg bool, args []string)

// Commands are the words of the language:
//
//	start [INSTANCE]              start all instances, or one again
//	stop INSTANCE                 end it as a crash does
//	drain INSTANCE                begin a graceful shutdown
//	drained INSTANCE              wait until it has ended without cutting anyone
//	send NAME INSTANCE stream|whole|publish|lookup [tokens=N] [key=K] [text=T] [poison] [long] [patient]
//	await NAME N                  wait until the caller has N tokens
//	hangup NAME                   the caller goes away
//	expect NAME whole|from VERSION|code N|outcome O|broken|failed|ended
//	crash ENGINE|SERVICE|@NAME    @NAME is the engine that runs the request
//	restart ENGINE|SERVICE        bring it back, empty
//	hang / resume ENGINE|SERVICE  stop without closing anything
//	halfopen ENGINE|@NAME         keep connections up and lose what arrives; ended by resume
//	slow / fast [times=N] [ENGINE...]
//	                              these engines, or all
//	cut ZONE / heal
//	leave ENDPOINT INSTANCE       an operator tells it to the instance
//	weights VERSION INSTANCE BASE an operator applies other weights over a revision
//	idle ENDPOINT [N]             note what it has got so far; with !, it must not have got more since,
//	                              or at most N
//	quiet                         wait until no engine runs anything
//	revision INSTANCE N           wait until the instance has the revision in force, or a later one
//	calls N                       wait until the services have begun N calls
//	ran KEY N                     how often the work under a key ran
//	crashes N                     at most so many engines crashed
//	lose N                        the services' next N answers get lost after the calls ran
//	lie ENGINE idle|full|no       what its load reports say
//	many NAME N                   send whole requests NAME-1 to NAME-N through all instances in turn
//	running N                     wait until engines have taken in N requests since the start
//	all NAME                      each of many must get its whole answer
//	platform ENDPOINT leaving|forgotten
//	                              what the platform's lists say; waits until each instance has read it
//	join ENDPOINT INSTANCE        an operator lets its next life join
//	pause INSTANCE                hold its calls of services back before they leave
//	held INSTANCE                 wait until it holds one
//	wake INSTANCE                 let them go
//	race BASE VERSION@INSTANCE... operators apply over one revision at the same time, and resend
//	winner N                      exactly one of the N was accepted, in force everywhere, and no revision went down
//	applies N INSTANCE            apply N changes, one over the other
//	wipe INSTANCE                 lose the disk of a stopped instance
//	voter INSTANCE                wait until it votes in the control group
//	promises                      what the stand-ins' own records must never show
func Commands() map[string]command {
	return map[string]command{
		"start": start, "stop": stop, "drain": drain, "drained": drained,
		"send": send, "await": await, "hangup": hangup, "expect": expect,
		"crash": crash, "restart": restart, "hang": hang, "resume": resume, "halfopen": halfOpen,
		"slow": slow, "fast": fast, "cut": cut, "heal": heal,
		"leave": leave, "weights": newWeights, "idle": idle, "calls": calls, "ran": ran, "crashes": crashes,
		"quiet": quiet, "revision": revision, "promises": promises,
		"lose": lose, "lie": lie, "many": many, "running": running, "all": all, "platform": platform, "join": join,
		"pause": pauseCalls, "held": held, "wake": wake, "race": raceOperators, "winner": winner,
		"applies": applies, "wipe": wipe, "voter": voter,
	}
}

func check(ts *testscript.TestScript, err error) {
	if err != nil {
		ts.Fatalf("%v", err)
	}
}

func need(ts *testscript.TestScript, args []string, n int) {
	if len(args) < n {
		ts.Fatalf("%d arguments are needed", n)
	}
}

func number(ts *testscript.TestScript, text string) int {
	n, err := strconv.Atoi(text)
	check(ts, err)
	return n
}

func instanceOf(ts *testscript.TestScript, name string) *instance {
	i := worldOf(ts).instances[name]
	if i == nil {
		ts.Fatalf("no instance %s", name)
	}
	return i
}

func requestOf(ts *testscript.TestScript, name string) *request {
	r := worldOf(ts).requests[name]
	if r == nil {
		ts.Fatalf("no request %s", name)
	}
	return r
}

func start(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) > 0 {
		i := instanceOf(ts, args[0])
		check(ts, i.begin())
		check(ts, i.configured())
		return
	}
	for _, i := range worldOf(ts).instances {
		check(ts, i.begin())
	}
	for _, i := range worldOf(ts).instances {
		check(ts, i.configured())
	}
}

func stop(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1)
	instanceOf(ts, args[0]).daemon.Stop()
}

func drain(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1)
	instanceOf(ts, args[0]).drain()
}

func drained(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1)
	i := instanceOf(ts, args[0])
	select {
	case <-i.drained:
		check(ts, i.drainErr)
	case <-time.After(wait):
		ts.Fatalf("%s is not drained", args[0])
	}
}

func send(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 3)
	w := worldOf(ts)
	r := newRequest(args[0], "prompt of "+args[0], 20)
	patient := false
	for _, arg := range args[3:] {
		name, value, _ := strings.Cut(arg, "=")
		switch name {
		case "tokens":
			r.tokens = number(ts, value)
		case "key":
			r.key = value
		case "text":
			r.text = value
		case "prompt":
			r.prompt = value
		case "poison":
			r.prompt = "the same each time " + standin.PoisonMark
		case "long":
			r.prompt += strings.Repeat(" and a line of a style book", longLines)
		case "patient":
			patient = true
		default:
			ts.Fatalf("unknown argument %s", arg)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	w.requests[args[0]] = r
	switch args[2] {
	case "publish":
		r.call = callPublish
	case "lookup":
		r.call = callLookup
	}
	address := instanceOf(ts, args[1]).options.Process.Listen.Callers.String()
	go r.run(ctx, address, args[2] == "stream", patient)
}

func await(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 2)
	check(ts, requestOf(ts, args[0]).await(number(ts, args[1])))
}

func hangup(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1)
	requestOf(ts, args[0]).cancel()
}

func expect(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, args, 2)
	r := requestOf(ts, args[0])
	check(ts, r.end())
	if met := r.meets(ts, args[1:]); met == neg {
		ts.Fatalf("%s: want %v, got %s", r.name, args[1:], r.describe())
	}
}

func (r *request) meets(ts *testscript.TestScript, args []string) bool {
	described := r.describe()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch args[0] {
	case "whole":
		return described == "whole"
	case "from":
		text := standin.NewText(model, "", tables.WeightsVersion(args[1]), r.prompt)
		return r.marked && r.got.String() == text.First(r.tokens)
	case "ended":
		return true
	case "failed":
		return r.failure != nil
	case "broken":
		return r.broken != nil
	case "code":
		return r.failure != nil && r.failure.Code == number(ts, args[1])
	case "outcome":
		return r.failure != nil && string(r.failure.Outcome) == args[1]
	}
	ts.Fatalf("unknown expectation %s", args[0])
	return false
}

// crashable is a stand-in that a script can break.
type crashable interface {
	Crash()
	Restart() error
	Hang()
	Resume()
}

func standinOf(ts *testscript.TestScript, name string) crashable {
	w := worldOf(ts)
	if of, ok := strings.CutPrefix(name, "@"); ok {
		name = w.runs(ts, requestOf(ts, of))
	}
	if e := w.engines[name]; e != nil {
		return e
	}
	if s := w.services[name]; s != nil {
		return s
	}
	ts.Fatalf("no stand-in %s", name)
	return nil
}

// runs gives the engine that runs a request now.
func (w *world) runs(ts *testscript.TestScript, r *request) string {
	for _, a := range w.records.Attempts() {
		if a.Work == standin.PromptWork(r.prompt) && a.End == standin.EndRunning {
			return string(a.Endpoint)
		}
	}
	ts.Fatalf("nothing runs %s", r.name)
	return ""
}

func crash(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1)
	standinOf(ts, args[0]).Crash()
}

func restart(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1)
	check(ts, standinOf(ts, args[0]).Restart())
}

func hang(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		standinOf(ts, name).Hang()
	}
}

func resume(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		standinOf(ts, name).Resume()
	}
}

func halfOpen(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1)
	e, ok := standinOf(ts, args[0]).(*standin.Engine)
	if !ok {
		ts.Fatalf("%s is no engine", args[0])
	}
	e.HalfOpen()
}

func slow(ts *testscript.TestScript, _ bool, args []string) { setSpeed(ts, args, slowdown) }
func fast(ts *testscript.TestScript, _ bool, args []string) { setSpeed(ts, args, 1) }

// setSpeed takes names of engines, and times=N for another slowdown.
func setSpeed(ts *testscript.TestScript, names []string, times int) {
	if len(names) > 0 && strings.HasPrefix(names[0], "times=") {
		times = number(ts, strings.TrimPrefix(names[0], "times="))
		names = names[1:]
	}
	for name, e := range worldOf(ts).engines {
		if len(names) == 0 || slices.Contains(names, name) {
			e.Slow(times)
		}
	}
}

func cut(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1)
	for _, zone := range zones {
		if string(zone) == args[0] {
			worldOf(ts).network.Isolate(zone)
			return
		}
	}
	ts.Fatalf("no zone %s", args[0])
}

func heal(ts *testscript.TestScript, _ bool, _ []string) { worldOf(ts).network.Heal() }

// until polls a condition that no event announces.
func until(ts *testscript.TestScript, what string, met func() bool) {
	for deadline := time.Now().Add(wait); !met(); {
		if time.Now().After(deadline) {
			ts.Fatalf("%s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

func quiet(ts *testscript.TestScript, _ bool, _ []string) {
	until(ts, "engines are busy", func() bool {
		for _, e := range worldOf(ts).engines {
			if e.Busy() > 0 {
				return false
			}
		}
		return true
	})
}

// idle notes the work of an endpoint; the negated form fails if it got more
// since.
func idle(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, args, 1)
	w := worldOf(ts)
	n := 0
	for _, a := range w.records.Attempts() {
		if string(a.Endpoint) == args[0] {
			n++
		}
	}
	name := "idle_" + strings.ReplaceAll(args[0], "-", "_")
	if !neg {
		ts.Setenv(name, strconv.Itoa(n))
		return
	}
	most := 0
	if len(args) > 1 {
		most = number(ts, args[1])
	}
	if before := number(ts, ts.Getenv(name)); n-before > most {
		ts.Fatalf("%s had %d attempts, has %d", args[0], before, n)
	}
}
