package dispatch

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/tables"
	"github.com/carawaystile/carawaystile/weights"
)

// backedModels is a service whose engines back runs up.
var backedModels = &routes.Service{Name: "models", Slots: 8, KVCapacityTokens: 100_000, Models: []string{"m"}, Backups: true}

// newBackupDispatcher returns a dispatcher for engines that alternate between two zones, where
// no other instance places requests.
func newBackupDispatcher(engines int) (*Dispatcher, map[tables.EndpointID]fleet.Endpoint) {
	d, all := newTestDispatcher(engines)
	d.options.Capacity.Backups = On
	d.SetSchedulerCounts(0, 0)
	return d, all
}

// newBackedRequest returns a request of 5,000 tokens that wants a backup.
func newBackedRequest() *Request {
	return &Request{
		Service: backedModels, Route: &routes.Route{}, Model: "m", PromptTokens: 4900, OutputTokens: 100,
		Deadline: time.Hour, PrefillWaitUntil: time.Hour, WantsBackup: true,
	}
}

// Guards against a copy at the engine that runs the request, at one that cannot continue the
// run, across zones without need, or at an engine that has less room than another.
func TestBackupIsTheEngineWithTheMostFreeMemory(t *testing.T) {
	d, all := newBackupDispatcher(12) // zone a: e0, e2, ... e10
	for id, change := range map[tables.EndpointID]func(*fleet.Endpoint){
		"e0": func(e *fleet.Endpoint) { e.Draining = true },
		"e2": func(e *fleet.Endpoint) { e.Weights = map[string]uint64{"m": 2} },
		"e4": func(e *fleet.Endpoint) { e.Loading = true },
	} {
		e := all[id]
		change(&e)
		all[id] = e
	}
	d.SetEndpoints(all)
	d.RecordWeightsVersion(weights.TargetVersion{Model: "m", Version: 1})
	d.SetReachable(0, "e6", false)
	for range 20 {
		a := mustPlace(t, d, time.Second, newBackedRequest())
		assert.Assert(t, a.Backup.ID != a.Endpoint.ID)
		if a.HasBackup() {
			assert.Equal(t, a.Backup.Weights["m"], a.WeightsVersion)
		} else {
			assert.Equal(t, a.Endpoint.ID, tables.EndpointID("e2"), "the only one on its weights")
		}
		assert.Assert(t, !slices.Contains([]tables.EndpointID{"e0", "e2", "e4", "e6"}, a.Backup.ID), string(a.Backup.ID))
		d.RecordOutcome(time.Second, a, Completed)
	}
	d, _ = newBackupDispatcher(6)
	d.ApplyLoadReport(time.Second, "other", LoadReport{Endpoint: "e2", Running: 1, MemoryTokens: 3000})
	d.ApplyLoadReport(time.Second, "other", LoadReport{Endpoint: "e4", Running: 1, MemoryTokens: 2000})
	r := newBackedRequest()
	r.Avoided = []tables.EndpointID{"e1", "e3", "e5", "e2", "e4"}
	a := mustPlace(t, d, time.Second, r)
	assert.Equal(t, a.Endpoint.ID, tables.EndpointID("e0"))
	assert.Assert(t, !a.HasBackup(), "all others are excluded")
	r = newBackedRequest()
	assert.Equal(t, d.chooseBackup(time.Second, r, a).ID, tables.EndpointID("e4"), "not e1, which is empty and in the other zone")
	for _, id := range []tables.EndpointID{"e2", "e4"} {
		d.SetReachable(time.Second, id, false)
	}
	assert.Equal(t, d.chooseBackup(time.Second, r, a).Zone, tables.Zone("b"))
}

// Guards against copies that displace the work of the engines that hold them.
func TestCopiesStayBelowATenthOfAnEnginesMemory(t *testing.T) {
	d, _ := newBackupDispatcher(3)
	var held []*Attempt
	for range 12 {
		if a, _ := d.Place(time.Second, newBackedRequest()); a != nil {
			held = append(held, a)
		}
	}
	for _, row := range d.endpoints {
		assert.Assert(t, row.copies.tokens <= 10_000, "%d tokens at %s", row.copies.tokens, row.ID)
	}
	assert.Assert(t, !held[len(held)-1].HasBackup())
	for _, a := range held {
		d.RecordOutcome(time.Second, a, Broken)
	}
	for _, row := range d.endpoints {
		assert.Equal(t, row.copies, copyLoad{})
		assert.Equal(t, row.memoryTokens, 0)
	}
}

// Guards against copies that exceed a tenth of the memory of an engine that is nearly full, since
// each of many instances that place may place a first copy there.
func TestFirstCopyBeyondTheShareNeedsFreeMemory(t *testing.T) {
	for reported, admitted := range map[int]bool{70_000: true, 80_000: false} {
		d, _ := newBackupDispatcher(2)
		d.ApplyLoadReport(time.Second, "other", LoadReport{Endpoint: "e1", Running: 1, MemoryTokens: reported})
		assert.Assert(t, d.mayHoldCopy(time.Second, newBackedRequest(), d.endpoints["e1"], 5000), "within the share of a single placer")
		d.SetSchedulerCounts(29, 0)
		assert.Equal(t, d.mayHoldCopy(time.Second, newBackedRequest(), d.endpoints["e1"], 5000), admitted)
	}
}

// Guards against copies that other instances do not know of, and against ones that count after
// their end, or at the scheduler and at the sender alike.
func TestCopiesCountInLoadReports(t *testing.T) {
	scheduler, _ := newBackupDispatcher(2)
	sender, _ := newBackupDispatcher(2)
	other, _ := newBackupDispatcher(2)
	off, _ := newTestDispatcher(2)
	chosen := mustPlace(t, scheduler, 0, newBackedRequest())
	accepted := sender.AcceptDecision(0, newBackedRequest(), chosen.Decision(0))
	assert.Equal(t, accepted.Backup.ID, chosen.Backup.ID)
	report := func(now tables.Instant) int {
		assert.Equal(t, len(sender.TakeLoadReports(now)), 0)
		for _, l := range scheduler.TakeLoadReports(now) {
			other.ApplyLoadReport(now, "scheduler", l)
			off.ApplyLoadReport(now, "scheduler", l)
		}
		assert.Equal(t, off.endpoints[chosen.Backup.ID].reported.memoryTokens, 0)
		return other.endpoints[chosen.Backup.ID].reported.memoryTokens
	}
	assert.Equal(t, report(0), 5000)
	assert.Equal(t, report(2*time.Second), 5000, "reported again, since a report may be lost")
	sender.RecordOutcome(3*time.Second, accepted, Completed)
	scheduler.RecordOutcome(3*time.Second, chosen, Completed)
	assert.Equal(t, report(3*time.Second), 0)
	assert.Equal(t, sender.endpoints[chosen.Backup.ID].memoryTokens, 0)
	assert.Equal(t, sender.endpoints[chosen.Backup.ID].remotelyPlaced.memoryTokens, 0)
}

// Guards against a backup that the sender knows cannot continue the run, and against one that
// fails decisions of schedulers which name none.
func TestDecisionsBackupIsOptional(t *testing.T) {
	scheduler, _ := newBackupDispatcher(4)
	decision := mustPlace(t, scheduler, 0, newBackedRequest()).Decision(0)
	for name, change := range map[string]func(*Decision, *Dispatcher, *Request){
		"none":          func(c *Decision, _ *Dispatcher, _ *Request) { c.Backup = "" },
		"unknown":       func(c *Decision, _ *Dispatcher, _ *Request) { c.Backup = "gone" },
		"itself":        func(c *Decision, _ *Dispatcher, _ *Request) { c.Backup = c.Endpoint },
		"newer weights": func(c *Decision, d *Dispatcher, _ *Request) { d.endpoints[c.Backup].Weights["m"] = 2 },
		"not wanted":    func(_ *Decision, _ *Dispatcher, r *Request) { r.WantsBackup = false },
	} {
		sender, _ := newBackupDispatcher(4)
		c, r := decision, newBackedRequest()
		change(&c, sender, r)
		a := sender.AcceptDecision(0, r, c)
		assert.Assert(t, a != nil && !a.HasBackup(), name)
	}
}

// Guards against a change of placement while no request wants a backup.
func TestWithoutBackupsNothingIsCounted(t *testing.T) {
	d, _ := newTestDispatcher(4)
	unwanted := newBackedRequest()
	unwanted.WantsBackup = false
	undeclared := newBackedRequest()
	undeclared.Service = models
	for _, r := range []*Request{unwanted, undeclared} {
		a := mustPlace(t, d, 0, r)
		assert.Assert(t, !a.HasBackup())
		assert.Equal(t, len(d.TakeLoadReports(0)), 1)
		assert.Equal(t, a.Decision(0).Backup, tables.EndpointID(""))
	}
}

// Guards against a continuation that takes no retry, or leaves its load behind.
func TestContinuationTakesARetry(t *testing.T) {
	d, _ := newBackupDispatcher(4)
	r := newBackedRequest()
	a := mustPlace(t, d, 0, r)
	d.RecordOutcome(0, a, Broken)
	next, refusal := d.Continue(0, r, a)
	assert.Equal(t, refusal, ContinuationRefusal(""))
	assert.Equal(t, next.Endpoint.ID, a.Backup.ID)
	assert.Equal(t, next.WeightsVersion, a.WeightsVersion)
	_, retries := d.retryWindow(0, "models").totals()
	assert.Equal(t, retries, 0, "not sent yet")
	assert.Assert(t, d.TakeContinuation(0, r, next))
	_, retries = d.retryWindow(0, "models").totals()
	assert.Equal(t, retries, 1)
	d.RecordResponseStart(0, next)
	d.RecordOutcome(0, next, Completed)
	row := d.endpoints[next.Endpoint.ID]
	assert.Equal(t, row.attempts, 0)
	assert.Equal(t, row.memoryTokens, 0)
	assert.Equal(t, row.prefillTokens, 0.0)
	_, refusal = d.Continue(0, r, next)
	assert.Equal(t, refusal, BackupUnavailable, "at most once")
}

// Guards against a retry that is taken from the budget of the service although the budget of
// retries to unconfirmed addresses refuses it.
func TestRefusedContinuationTakesNoRetry(t *testing.T) {
	d, _ := newBackupDispatcher(4)
	r := newBackedRequest()
	a := mustPlace(t, d, 0, r)
	d.RecordOutcome(0, a, Broken)
	for range int(d.extraRetries(0)) {
		assert.Assert(t, d.TakeRetry(0, "other"))
	}
	_, refusal := d.Continue(0, r, a)
	assert.Equal(t, refusal, RetryBudgetUsedUp)
	_, retries := d.retryWindow(0, "models").totals()
	assert.Equal(t, retries, 0)
}

// Guards against instances that all choose the same engine before they learn of each other's
// choices: 30 instances place one run each at the same moment on 24 engines.
func TestInstancesSpreadTheirCopies(t *testing.T) {
	copies, most := map[tables.EndpointID]int{}, 0
	for seed := range uint64(30) {
		d, _ := newBackupDispatcher(24)
		d.options.Seed = seed
		d.SetSchedulerCounts(29, 0)
		a := mustPlace(t, d, 0, newBackedRequest())
		copies[a.Backup.ID]++
		most = max(most, copies[a.Backup.ID])
	}
	assert.Assert(t, most <= 7, "%d of 30 copies at one engine", most)
}

// Guards against a run that is backed up, or continues, at an engine of another software version.
func TestBackupHasTheSoftwareOfTheRun(t *testing.T) {
	d, all := newBackupDispatcher(8)
	for i, id := range []tables.EndpointID{"e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7"} {
		e := all[id]
		e.Software = []string{"v1", "v2", ""}[i%3]
		all[id] = e
	}
	d.SetEndpoints(all)
	for range 20 {
		r := newBackedRequest()
		a := mustPlace(t, d, time.Second, r)
		assert.Assert(t, a.HasBackup())
		assert.Equal(t, a.Backup.Software, a.Endpoint.Software)
		d.RecordOutcome(time.Second, a, Completed)
	}
	r := newBackedRequest()
	a := mustPlace(t, d, time.Second, r)
	backup := all[a.Backup.ID]
	backup.Software = "v3"
	all[backup.ID] = backup
	d.SetEndpoints(all)
	d.RecordOutcome(time.Second, a, Broken)
	_, refusal := d.Continue(time.Second, r, a)
	assert.Equal(t, refusal, BackupUnavailable)
}

// Guards against a run that goes on from memory which its endpoint has made in part by older weights, after a late
// order took it back.
func TestRunIsNotContinuedOnceItsEndpointWentBack(t *testing.T) {
	assert.Assert(t, !RunWeights{Run: 3, Endpoint: 3, Backup: 3, Target: 3}.MayHaveChanged())
	assert.Assert(t, RunWeights{Run: 3, Endpoint: 2, Backup: 3, Target: 3}.MayHaveChanged())
	assert.Assert(t, !RunWeights{Run: 3, Target: 3}.MayHaveChanged(), "not known")
}
