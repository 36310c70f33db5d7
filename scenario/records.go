package scenario

import "github.com/rogpeppe/go-internal/testscript"

func calls(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1)
	w, want := worldOf(ts), number(ts, args[0])
	until(ts, "too few calls", func() bool { return len(w.calls.Executions()) >= want })
}

func ran(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 2)
	n := 0
	for _, execution := range worldOf(ts).calls.Executions() {
		if execution.Key == args[0] {
			n++
		}
	}
	if n != number(ts, args[1]) {
		ts.Fatalf("key %s ran %d times", args[0], n)
	}
}

func crashes(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 1)
	if n := worldOf(ts).records.Totals().Crashes; n > number(ts, args[0]) {
		ts.Fatalf("%d engines crashed", n)
	}
}

func promises(ts *testscript.TestScript, _ bool, _ []string) {
	w := worldOf(ts)
	t := w.records.Totals()
	if t.ForeignCache+t.OldWeightsCache+t.DeadCache+t.BadResumes+t.DuplicateAttempts+t.OldOrders > 0 {
		ts.Fatalf("promises broken: %+v", t)
	}
	if twice := w.calls.DuplicateKeys(); len(twice) > 0 {
		ts.Fatalf("work ran more than once: %v", twice)
	}
}
