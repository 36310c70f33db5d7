package demo

import (
	"strings"

	"github.com/carawaystile/carawaystile/standin"
	"github.com/carawaystile/carawaystile/tables"
)

// maxBrokenListed bounds how many broken promises of one kind are listed.
const maxBrokenListed = 5

// weights is the version that the demo serves all models with.
const weights = tables.WeightsVersion("w1")

// check holds what callers got, and what the stand-ins did, against the
// promises.
func (w *world) check(r *Report, results []result) {
	w.checkAnswers(r, results)
	w.checkRefusals(r, results)
	w.checkOnce(r, results)
	w.checkEngines(r)
	w.checkServed(r, results)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, note := range w.notes {
		r.broken("%s", note)
	}
}

// expected is the whole answer to an item.
func (i *item) expected() string {
	if i.isCall() {
		return standin.ServiceAnswer(i.call, []byte(i.body))
	}
	return standin.NewText(i.model, "", weights, i.prompt).First(i.tokens)
}

// checkAnswers: callers get the whole answer to their own request, in order,
// and no stream ends silently.
func (w *world) checkAnswers(r *Report, results []result) {
	listed := 0
	for i := range results {
		got := &results[i]
		want := got.item.expected()
		wrong := ""
		switch {
		case got.ending == complete && got.text != want:
			wrong = "got a wrong or incomplete answer that looked whole"
		case !strings.HasPrefix(want, got.text):
			wrong = "got text that is not the beginning of its answer"
		case got.ending == silent:
			wrong = "got an answer that stopped without an end mark or a failure"
		}
		if wrong != "" && listed < maxBrokenListed {
			listed++
			r.broken("request %d (%s) %s", got.item.number, got.item.profile, wrong)
		}
	}
}

// checkRefusals: when a refusal says not run, the work did not run. Work that
// was sent several times is left out, because another try may have run it.
func (w *world) checkRefusals(r *Report, results []result) {
	ran := make(map[uint64]bool)
	for _, record := range w.fleet.records.Attempts() {
		if record.Ran {
			ran[record.Work] = true
		}
	}
	for _, execution := range w.fleet.calls.Executions() {
		ran[execution.Work] = true
	}
	tries := make(map[int]int)
	for i := range results {
		tries[results[i].item.number]++
	}
	listed := 0
	for i := range results {
		got := &results[i]
		if got.ending != refused || tries[got.item.number] > 1 || got.item.isCall() && got.item.key == "" {
			continue
		}
		if ran[got.item.work()] && listed < maxBrokenListed {
			listed++
			r.broken("request %d (%s) was refused as not run, code %d, and ran", got.item.number, got.item.profile, got.code)
		}
	}
}

func (i *item) work() uint64 {
	if i.isCall() {
		return standin.ServiceWork(i.call, []byte(i.body))
	}
	return standin.PromptWork(i.prompt)
}

// checkOnce: work that must run once ran at most once, and every caller that
// was told so got it.
func (w *world) checkOnce(r *Report, results []result) {
	for key, runs := range w.fleet.calls.DuplicateKeys() {
		r.DuplicatesRun += runs - 1
		r.broken("once-only work %s ran %d times", key, runs)
	}
	if n := w.fleet.calls.DuplicateAttempts(); n > 0 {
		r.broken("%d attempts at plain services ran twice", n)
	}
	ran := make(map[uint64]bool)
	for _, execution := range w.fleet.calls.Executions() {
		ran[execution.Work] = true
	}
	for i := range results {
		got := &results[i]
		if got.item.key != "" && got.ending == complete && !ran[got.item.work()] {
			r.broken("request %d got an answer to work that did not run", got.item.number)
		}
	}
}

// checkEngines: no use of dead, foreign or old cache, and no attempt that ran
// twice.
func (w *world) checkEngines(r *Report) {
	t := r.StandIns
	for _, count := range []struct {
		n    int
		what string
	}{
		{t.ForeignCache, "cached pieces of another organisation were used"},
		{t.OldWeightsCache, "cached pieces of older weights were used"},
		{t.DeadCache, "cached pieces of a dead engine were used"},
		{t.DuplicateAttempts, "attempts ran twice"},
		{t.BadResumes, "resumes came with text that is not the answer's"},
	} {
		if count.n > 0 {
			r.broken("%d %s", count.n, count.what)
		}
	}
}

// checkServed: without a fault, and while instances restart one after another,
// every request gets its answer.
func (w *world) checkServed(r *Report, results []result) {
	if w.options.Fault != NoFault && w.options.Fault != FaultRestart {
		return
	}
	unserved := 0
	for i := range results {
		got := &results[i]
		if got.ending != complete && got.ending != left && !got.resent {
			unserved++
		}
	}
	if unserved > 0 {
		r.broken("%d requests got no answer though nothing failed", unserved)
	}
}
