package scenario

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/prefix"
	"github.com/carawaystile/carawaystile/standin"
	"github.com/carawaystile/carawaystile/tables"
)

func lose(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1)
	worldOf(ts).answersToLose.Store(int64(number(ts, args[0])))
}

// losesAnswer uses one of the answers to lose up.
func (w *world) losesAnswer() bool { return w.answersToLose.Add(-1) >= 0 }

// falseQueue is the queue that an engine invents when it lies to be full.
const falseQueue = 64

func lie(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 2)
	e := worldOf(ts).engines[args[0]]
	if e == nil {
		ts.Fatalf("no engine %s", args[0])
	}
	switch args[1] {
	case "idle":
		e.Lie(func(l *engine.Load) { l.Running, l.Queued, l.QueuedTokens, l.Attempts = 0, 0, 0, nil })
	case "full":
		e.Lie(func(l *engine.Load) {
			l.Running, l.Queued, l.QueuedTokens = standin.DefaultSlots, falseQueue, falseQueue*prefix.BlockTokens
		})
	case "no":
		e.Lie(nil)
	default:
		ts.Fatalf("unknown lie %s", args[1])
	}
}

// instanceNames gives the instances in a stated order.
func (w *world) instanceNames() []string {
	var names []string
	for name := range w.instances {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func many(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 2)
	names := worldOf(ts).instanceNames()
	for n := range number(ts, args[1]) {
		send(ts, false, append([]string{fmt.Sprint(args[0], "-", n+1), names[n%len(names)], "whole"}, args[2:]...))
	}
}

func running(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1)
	w, want := worldOf(ts), number(ts, args[0])
	until(ts, "too few requests", func() bool { return len(w.records.Attempts()) >= want })
}

func all(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1)
	for name := range worldOf(ts).requests {
		if strings.HasPrefix(name, args[0]+"-") {
			expect(ts, false, []string{name, "whole"})
		}
	}
}

// readsToHold is how many more reads show that an instance has acted on what
// the list says: it reads one list after the other, and one read may have begun
// before the change.
const readsToHold = 3

func platform(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 2)
	w := worldOf(ts)
	id := tables.EndpointID(args[0])
	for _, i := range w.instances {
		if args[1] == "leaving" {
			i.platform.Set(engine.PlatformInstance{ID: id, State: engine.PlatformLeaving, Life: 1})
		} else {
			i.platform.Remove(id)
		}
	}
	changed := time.Now()
	until(ts, "the list is not served", func() bool { return time.Since(changed) > platformLag })
	for name, i := range w.instances {
		before := i.platform.Reads()
		until(ts, name+" does not read the list", func() bool { return i.platform.Reads() >= before+readsToHold })
	}
}

func pauseCalls(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1)
	instanceOf(ts, args[0]).pause.begin()
}

func held(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1)
	select {
	case <-instanceOf(ts, args[0]).pause.held():
	case <-time.After(wait):
		ts.Fatalf("%s holds no call", args[0])
	}
}

func wake(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1)
	instanceOf(ts, args[0]).pause.end()
}

// wipe loses what an instance keeps on its disk, as a replaced machine does.
func wipe(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1)
	data := instanceOf(ts, args[0]).options.Process.Data
	check(ts, os.RemoveAll(data))
	check(ts, os.Mkdir(data, 0o700))
}

// voter waits until an instance's own metrics say that it votes.
func voter(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1)
	at := instanceOf(ts, args[0]).options.Process.Listen.Instances
	until(ts, args[0]+" does not vote", func() bool {
		req, err := http.NewRequest(http.MethodGet, "http://"+at.String()+"/metrics", nil)
		check(ts, err)
		resp, err := operator{}.Do(req)
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		text, err := io.ReadAll(resp.Body)
		return err == nil && strings.Contains(string(text), "\ncarawaystile_control_voter 1\n")
	})
}
