package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// build builds the daemon that the runs start.
func build(t *testing.T) string {
	t.Helper()
	daemon := filepath.Join(t.TempDir(), "carawaystiled")
	command := exec.Command("go", "build", "-o", daemon, "../cmd/carawaystiled")
	output, err := command.CombinedOutput()
	assert.NilError(t, err, "%s", output)
	return daemon
}

// play runs a deployment and reports what was broken.
func play(t *testing.T, o Options) *Outcome {
	t.Helper()
	o.Folder = t.TempDir()
	o.Progress = func(line string) { t.Log(line) }
	outcome, err := Run(o)
	assert.NilError(t, err)
	t.Log(outcome)
	if len(outcome.Breaches) > 0 {
		t.Errorf("seed %d:\n%s%s", o.Seed, outcome.Report(o.Folder), tails(o.Folder))
	}
	return outcome
}

// tails gives the last lines of each process's log: the folder goes with the
// test.
func tails(folder string) string {
	const last = 3000
	logs, _ := filepath.Glob(filepath.Join(folder, "*.log"))
	var b strings.Builder
	for _, log := range logs {
		text, err := os.ReadFile(log)
		if err != nil {
			continue
		}
		b.WriteString("-- " + filepath.Base(log) + "\n")
		b.Write(text[max(0, len(text)-last):])
	}
	return b.String()
}

// A whole deployment as separate processes: three control and three entry
// instances, with endpoints, the list, the store, operators and callers around
// them. In calm, everything that is sent is served.
func TestACalmDeploymentServesEverything(t *testing.T) {
	outcome := play(t, Options{
		Daemon: build(t), Seed: 1, For: 8 * time.Second, Controls: 3, Entries: 3,
		Faults: []string{"a new configuration", "new weights", "reload settings"},
	})
	assert.Assert(t, outcome.Served > 0)
	assert.Equal(t, outcome.Exits, 0)
}

// The same under faults of every kind. The seed draws which.
func TestFaultsBreakNoPromise(t *testing.T) {
	outcome := play(t, Options{Daemon: build(t), Seed: 20, For: 12 * time.Second, Controls: 3, Entries: 3})
	assert.Assert(t, outcome.Served > 0)
}

// Guards against a rate limit that is exceeded while instances are killed, cut off and
// restarted.
func TestFaultsBreakNoRateLimit(t *testing.T) {
	outcome := play(t, Options{Daemon: build(t), Seed: 21, For: 12 * time.Second, Controls: 3, Entries: 6, LimitUse: true})
	assert.Assert(t, outcome.Served > 0)
	assert.Assert(t, outcome.Refused > 0)
}

// Guards against an endpoint that names a rate limit getting more than that while instances are
// killed, paused and restarted.
func TestFaultsBreakNoEndpointsLimit(t *testing.T) {
	outcome := play(t, Options{
		Daemon: build(t), Seed: 28, For: 14 * time.Second, Controls: 3, Entries: 6,
		Faults: []string{"an endpoint names a rate limit", "kill an entry", "pause an entry", "restart an entry", "lose datagrams"},
	})
	assert.Assert(t, outcome.Served > 0)
}

// Guards against requests to endpoints that push back or announce their end while the list is
// down and instances are killed, paused and restarted.
func TestFaultsBreakNoPushback(t *testing.T) {
	outcome := play(t, Options{
		Daemon: build(t), Seed: 43, For: 14 * time.Second, Controls: 3, Entries: 6,
		Faults: []string{
			"an endpoint pushes back", "replace an endpoint", "the list is down", "kill an entry", "pause an entry", "lose datagrams",
		},
	})
	assert.Assert(t, outcome.Served > 0)
}

// Guards against second sends beyond the retry budget while all endpoints of a service reject requests and instances are killed, restarted and paused.
func TestRejectingServicesStayWithinTheRetryBudget(t *testing.T) {
	const second = time.Second
	outcome := play(t, Options{
		Daemon: build(t), Seed: 47, Controls: 3, Entries: 6,
		Plan: []Event{
			{At: 13 * second, Fault: shedFault, For: 5 * second, Seed: 1},
			{At: 14 * second, Fault: "kill half of all", For: second, Seed: 2},
			{At: 15 * second, Fault: "restart an entry", For: second, Seed: 4},
			{At: 17 * second, Fault: "kill an entry", For: second, Seed: 6},
			{At: 19 * second, Fault: shedFault, For: 4 * second, Seed: 6},
		},
	})
	assert.Assert(t, outcome.Served > 0)
}

// Guards against requests that are lost while configurations, reloads, drains and silent endpoints overlap.
func TestChangesInSeriesLoseNoRequest(t *testing.T) {
	outcome := play(t, Options{Daemon: build(t), Seed: 62, Controls: 3, Entries: 6, Plan: SeriesPlan(62, 10*time.Second)})
	assert.Assert(t, outcome.Served > 0)
	assert.Assert(t, outcome.Silent > 0)
}

// Guards against responses without end that take the memory of an instance.
func TestEndlessResponsesStayWithinMemory(t *testing.T) {
	const second = time.Second
	outcome := play(t, Options{
		Daemon: build(t), Seed: 63, Controls: 3, Entries: 3,
		Plan: []Event{
			{At: 2 * second, Fault: endlessFault, For: 4 * second, Seed: 1},
			{At: 3 * second, Fault: endlessFault, For: 4 * second, Seed: 2},
			{At: 3 * second, Fault: silenceFault, For: 4 * second, Seed: 3},
			{At: 4 * second, Fault: endlessFault, For: 4 * second, Seed: 4},
		},
	})
	assert.Assert(t, outcome.Endless > 0)
}

// Guards against requests that run twice, or are refused while they run, because a rejection that names no request is taken for theirs.
func TestStrayRejectionsBreakNoPromise(t *testing.T) {
	outcome := play(t, Options{
		Daemon: build(t), Seed: 7752, For: 8 * time.Second, Controls: 3, Entries: 3, Faults: []string{strayFault, "kill an entry"},
	})
	assert.Assert(t, outcome.Served > 0)
}

// Seeds that once broke a promise stay here, each with its cause.
func TestSeedsThatOnceFailed(t *testing.T) {
	text, err := os.ReadFile("testdata/seeds.txt")
	assert.NilError(t, err)
	daemon := build(t)
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 6 || strings.HasPrefix(line, "#") {
			continue
		}
		seed, err := strconv.ParseUint(fields[0], 10, 64)
		assert.NilError(t, err)
		length, err := time.ParseDuration(fields[1])
		assert.NilError(t, err)
		controls, err := strconv.Atoi(fields[2])
		assert.NilError(t, err)
		entries, err := strconv.Atoi(fields[3])
		assert.NilError(t, err)
		play(t, Options{Daemon: daemon, Seed: seed, For: length, Controls: controls, Entries: entries, LimitUse: fields[4] == "limit-use"})
	}
}

// Guards against streams that continue at another version of the endpoints' software, within a response
// or over the requests of a caller, while instances and endpoints are killed and replaced.
func TestFaultsMixNoSoftwareVersions(t *testing.T) {
	outcome := play(t, Options{
		Daemon: build(t), Seed: 56, For: 14 * time.Second, Controls: 3, Entries: 6,
		Faults: []string{
			"kill an entry", "kill half of all", "restart an entry", "reset open connections", "crash an endpoint",
			"replace an endpoint", "answers are cut short",
		},
	})
	assert.Assert(t, outcome.Resumed > 0)
}

// Guards against parts of prompts that crash one endpoint after the other, and against sound requests that are not served beside them, while instances are killed, restarted and paused.
func TestPartsThatCrashEndpointsAreKeptOff(t *testing.T) {
	const second = time.Second
	outcome := play(t, Options{
		Daemon: build(t), Seed: 59, Controls: 3, Entries: 6, Capacity: true,
		Plan: []Event{
			{At: 3 * second, Fault: badPartFault, Seed: 1},
			{At: 5 * second, Fault: "kill an entry", For: second, Seed: 2},
			{At: 6 * second, Fault: "restart an entry", For: second, Seed: 3},
			{At: 9 * second, Fault: "pause an entry", For: second, Seed: 4},
			{At: 18 * second, Fault: badPartFault, Seed: 5},
		},
	})
	assert.Assert(t, outcome.Served > 0)
}
