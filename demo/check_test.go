package demo

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/internal/partition"
	"github.com/carawaystile/carawaystile/standin"
	"github.com/carawaystile/carawaystile/tables"
)

// checked holds results against a fleet that did what prepare makes it do.
func checked(t *testing.T, results []result, prepare func(f *fleet)) []Promise {
	t.Helper()
	o, err := Options{}.withDefaults()
	assert.NilError(t, err)
	f, err := newFleet(o, partition.New())
	assert.NilError(t, err)
	defer f.close()
	if prepare != nil {
		prepare(f)
	}
	w := &world{options: o, fleet: f}
	return w.report(results, 0).Broken
}

func call(t *testing.T, f *fleet, attempt string, i *item) {
	t.Helper()
	_, err := engine.NewHTTPClient(engine.Options{}).Call(t.Context(), f.services[0].Address(), engine.CallRequest{
		Attempt: tables.AttemptID(attempt), Path: engine.PathCall + i.call, IdempotencyKey: i.key, Body: []byte(i.body),
	})
	assert.NilError(t, err)
}

// Each of these is a broken promise that a faulty router could cause. The
// checks have to find every one, and find nothing when all is well.
func TestChecksFindBrokenPromises(t *testing.T) {
	prompt := &item{number: 1, profile: "drafting", model: "draft-12b", prompt: "p", tokens: 4, stream: true}
	whole := prompt.expected()
	note := &item{number: 2, profile: "publishing", service: "publish", call: "publish-note", body: "b", key: "k"}
	for name, tc := range map[string]struct {
		result  result
		prepare func(f *fleet)
		want    string
	}{
		"all well":       {result: result{item: prompt, ending: complete, text: whole}},
		"cut short":      {result: result{item: prompt, ending: complete, text: whole[:10]}, want: "looked whole"},
		"another's text": {result: result{item: prompt, ending: left, text: "other"}, want: "not the beginning"},
		"silent end":     {result: result{item: prompt, ending: silent, text: whole[:5]}, want: "without an end mark"},
		"not run, but ran": {
			result:  result{item: note, ending: refused, outcome: tables.OutcomeNotRun},
			prepare: func(f *fleet) { call(t, f, "a1", note) },
			want:    "refused as not run",
		},
		"ran twice": {
			result:  result{item: note, ending: complete, text: note.expected()},
			prepare: func(f *fleet) { call(t, f, "a1", note); call(t, f, "a2", note) },
			want:    "ran 2 times",
		},
		"attempt repeated": {
			result:  result{item: note, ending: complete, text: note.expected()},
			prepare: func(f *fleet) { call(t, f, "a1", note); call(t, f, "a1", note) },
			want:    "ran twice",
		},
		"answer from nowhere": {
			result: result{item: note, ending: complete, text: note.expected()},
			want:   "did not run",
		},
		"no answer without a fault": {
			result: result{item: prompt, ending: refused},
			want:   "though nothing failed",
		},
	} {
		t.Run(name, func(t *testing.T) {
			broken := checked(t, []result{tc.result}, tc.prepare)
			if tc.want == "" {
				assert.Equal(t, len(broken), 0, "%v", broken)
				return
			}
			found := false
			for _, p := range broken {
				found = found || strings.Contains(string(p), tc.want)
			}
			assert.Assert(t, found, "%v", broken)
		})
	}
}

func TestSameSeedGivesTheSameLoad(t *testing.T) {
	o, err := Options{Seed: 3, Requests: 50}.withDefaults()
	assert.NilError(t, err)
	a, b := newLoad(o), newLoad(o)
	for n := range a {
		assert.Equal(t, a[n], b[n])
	}
	o.Seed = 4
	assert.Assert(t, newLoad(o)[0] != a[0])
}

// Two organisations share the text of their style. The owner that the
// stand-ins see must still differ, or the check for foreign cache is blind.
func TestOwnerIsReadFromThePrompt(t *testing.T) {
	o, err := Options{Seed: 1, Requests: 100}.withDefaults()
	assert.NilError(t, err)
	for _, i := range newLoad(o) {
		if !i.isCall() {
			assert.Equal(t, owner(i.prompt), i.org)
			assert.Assert(t, standin.PromptWork(i.prompt) == i.work())
		}
	}
}
