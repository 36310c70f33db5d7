package rollout

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

// versionFixture is a controller that observes endpoints of the model "m", and its log.
type versionFixture struct {
	controller *Controller
	table      *fleet.Table
	logs       *observer.ObservedLogs
	target     uint64
	versions   []uint64
}

func newVersionFixture(versions ...uint64) *versionFixture {
	core, logs := observer.New(zapcore.DebugLevel)
	f := &versionFixture{table: fleet.NewTable(1), logs: logs, target: 1, versions: versions}
	f.controller = NewController(Options{
		Fleet: f.table, Log: zap.New(core), IsLeader: func() bool { return true }, WeightsTimeout: 8 * time.Second,
		TargetVersions: func() map[string]uint64 { return map[string]uint64{"m": f.target} },
		Now:            func() tables.Instant { return 0 },
	})
	f.list()
	return f
}

// list applies a list that shows the versions of the endpoints.
func (f *versionFixture) list() {
	var endpoints []fleet.Endpoint
	for i, version := range f.versions {
		id := tables.EndpointID(fmt.Sprintf("e%02d", i))
		endpoints = append(endpoints, fleet.Endpoint{ID: id, StartUnixMilli: 1, Weights: map[string]uint64{"m": version}})
	}
	f.table.ApplyList(endpoints)
}

// observe observes the lag until the given time.
func (f *versionFixture) observe(from, until time.Duration) {
	for now := from; now <= until; now += stepInterval {
		f.controller.observeLag(now)
	}
}

// Guards against a lag of a version that can't be told from the log, since newer versions restart the time or an
// endpoint that was behind another version has its time counted in.
func TestLagCountsForEachVersionByItself(t *testing.T) {
	f := newVersionFixture(1, 1, 1)
	f.observe(time.Second, 2*time.Second)
	assert.Equal(t, f.controller.VersionLag(), VersionLag{})
	f.target = 2
	f.observe(2*time.Second, 5*time.Second)
	f.target = 3
	f.observe(5*time.Second, 6*time.Second)
	assert.Equal(t, f.controller.VersionLag(), VersionLag{Model: "m", Version: 2, Lacking: 3, Endpoints: 3, Age: 4 * time.Second, TargetAge: 4 * time.Second})
	lags := f.controller.versions.observe(6*time.Second, f.table, f.controller.planner.history, true)
	assert.Equal(t, len(lags), 2)
	assert.Equal(t, lags[1], VersionLag{Model: "m", Version: 3, Lacking: 3, Endpoints: 3, Age: time.Second, TargetAge: time.Second})

	f.versions = []uint64{2, 2, 1}
	f.list()
	f.observe(6*time.Second, 7*time.Second)
	assert.Equal(t, f.controller.VersionLag(), VersionLag{Model: "m", Version: 3, Lacking: 3, Endpoints: 3, Age: 2 * time.Second, TargetAge: 2 * time.Second})
}

// Guards against lag that is counted for one endpoint, or for up to a tenth of them.
func TestVersionLagsOnceTwoAndOverATenthLackIt(t *testing.T) {
	for _, c := range []struct{ endpoints, old, lacking int }{{9, 1, 0}, {9, 2, 2}, {20, 2, 0}, {20, 3, 3}, {1, 1, 0}} {
		versions := make([]uint64, c.endpoints)
		for i := range versions {
			versions[i] = 2
			if i < c.old {
				versions[i] = 1
			}
		}
		f := newVersionFixture(versions...)
		f.target = 2
		f.observe(time.Second, 3*time.Second)
		assert.Equal(t, f.controller.VersionLag().Lacking, c.lacking, "%d of %d", c.old, c.endpoints)
	}
}

// Guards against lag that is counted from before an endpoint's start.
func TestLagOfAVersionCountsFromTheStartOfEndpoints(t *testing.T) {
	f := newVersionFixture(1, 2)
	f.target = 2
	f.observe(time.Second, 4*time.Second)
	f.versions = []uint64{1, 2, 1}
	f.list()
	f.observe(4*time.Second, 5*time.Second)
	lag := f.controller.VersionLag()
	assert.Equal(t, lag.Lacking, 2)
	assert.Assert(t, lag.Age > 0 && lag.Age <= time.Second, "%v", lag.Age)
	assert.Equal(t, lag.TargetAge, 4*time.Second)
}

// Guards against a version that lags without a line, or with one in each step.
func TestVersionThatLagsIsLogged(t *testing.T) {
	f := newVersionFixture(1, 1, 2)
	f.target = 2
	f.observe(time.Second, 12*time.Second)
	lines := linesOf(f.logs, events.RolloutVersionLagging)
	assert.Equal(t, len(lines), 2, "one line every %v after %v", lagLogInterval, versionLogAfter)
	assert.Equal(t, lines[1]["version"], uint64(2))
	assert.Equal(t, lines[1]["lacking"], int64(2))
	assert.Equal(t, lines[1]["age"], 10*time.Second)
	assert.Equal(t, lines[1]["share"], 1.25)
}

// Guards against a log that grows with the number of versions that lag.
func TestFewVersionsAreLoggedAtOnce(t *testing.T) {
	f := newVersionFixture(1, 1)
	for now := time.Second; now <= 12*time.Second; now += lagInterval {
		f.target++
		f.controller.observeLag(now)
	}
	assert.Equal(t, len(linesOf(f.logs, events.RolloutVersionLagging)), 1+maxLoggedVersions, "one after %v, and the most at once later", versionLogAfter)
}
