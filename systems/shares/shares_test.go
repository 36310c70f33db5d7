package shares

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/internal/fixedseed"
	"github.com/carawaystile/carawaystile/tables"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

func key(organisation string) Key { return Key{Service: "s", Organisation: organisation} }

// Guards against costs that are charged twice or never: those of the asking instance, of instances
// that restart or stop, and of a placement that is in the totals of instances and of placers.
func TestOthersAreAllInstancesExceptTheAskingOne(t *testing.T) {
	var totals Totals
	now := time.Second
	totals.Placed(now, key("a"), Request{Model: "m", Tokens: 100})
	totals.RecordInstance(now, key("a"), "i1", 100)
	assert.Equal(t, totals.Others(key("a"), 100), uint64(0))
	assert.Equal(t, totals.Others(key("a"), 0), uint64(100))
	totals.RecordPlaced(now, key("a"), "scheduler2", 50)
	totals.RecordZone(now, key("a"), "z2", "far", 1000)
	assert.Equal(t, totals.Others(key("a"), 100), uint64(1050))
	totals.RecordPlaced(now, key("a"), "scheduler2", 20)
	assert.Equal(t, totals.Others(key("a"), 100), uint64(1020), "a restarted placer's lower total replaces the known one")
	totals.RecordInstance(now, key("a"), "i2", 500)
	assert.Equal(t, totals.Others(key("a"), 100), uint64(1500), "what i2 has placed itself is in its total only")
	now += 8 * time.Second
	totals.RecordInstance(now, key("a"), "i1", 100)
	now += 3 * time.Second
	totals.RecordInstance(now, key("a"), "i1", 100)
	assert.Equal(t, totals.Others(key("a"), 100), uint64(1020), "i2 has asked nothing for 10 s")
	assert.Equal(t, totals.Others(key("unknown"), 0), uint64(0))
}

// Guards against totals of a zone that are added up over schedulers which know the same instances,
// and against a zone that is lost with its scheduler.
func TestZoneCountsOnceAndSurvivesItsScheduler(t *testing.T) {
	var totals Totals
	now := time.Second
	assert.Assert(t, totals.RecordZone(now, key("a"), "z2", "first", 100))
	assert.Assert(t, !totals.RecordZone(now, key("a"), "z2", "second", 90))
	assert.Equal(t, totals.Others(key("a"), 0), uint64(100))
	now += zoneSilence
	assert.Assert(t, totals.RecordZone(now, key("a"), "z2", "second", 120))
	assert.Equal(t, totals.Others(key("a"), 0), uint64(120))
}

// Guards against an answer that charges an organisation more than was started since the last one:
// the first one, a lower one, one of a scheduler that knows less, and a wrong one.
func TestOnlyIncreasesAreCharged(t *testing.T) {
	var c Charges
	now := time.Second
	const rate = 1000.0
	answered := func(others uint64) float64 { return c.Answered(now, key("a"), others, rate) }
	assert.Equal(t, answered(5000), 0.0, "use before the first answer")
	now += 100 * time.Millisecond
	assert.Equal(t, answered(5040), 40.0)
	now += 100 * time.Millisecond
	assert.Equal(t, answered(1_000_000), 160.0, "bounded by what can be started in 200 ms, less what was charged")
	assert.Equal(t, answered(1_000_100), 0.0, "nothing is left to charge")
	now += 100 * time.Millisecond
	assert.Equal(t, answered(5050), 0.0)
	now += 100 * time.Millisecond
	assert.Equal(t, answered(5060), 0.0, "a scheduler that knows less")
	assert.Equal(t, answered(0), 0.0, "unknown")
	now += rebaseAfter
	assert.Equal(t, answered(6000), 0.0, "the higher answer is forgotten")
	now += 100 * time.Millisecond
	assert.Equal(t, answered(6010), 10.0)
	now += forgetAfter
	assert.Equal(t, answered(9000), 0.0, "use while nothing waited")
}

// Guards against increases that are lost because another answer has come just before.
func TestIncreaseRightAfterAnAnswerIsCharged(t *testing.T) {
	var c Charges
	charged := 0.0
	for i := range 500 {
		at := time.Second + time.Duration(i)*2*time.Millisecond
		charged += c.Answered(at, key("a"), uint64(1000+i/50*80), 1000)
	}
	assert.Equal(t, charged, 720.0)
	assert.Equal(t, c.Answered(6*time.Second, key("a"), 1_000_000, 1000) <= 6000, true)
}

// Guards against charges for what nobody has started where schedulers know different totals.
func TestSchedulersThatKnowLessCauseNoCharge(t *testing.T) {
	for _, lower := range []int{1, 2, 5} {
		var c Charges
		charged := 0.0
		for i := range 60 {
			others := uint64(1000)
			if i%(lower+1) == 0 {
				others = 1_000_000
			}
			charged += c.Answered(time.Second+time.Duration(i)*1100*time.Millisecond, key("a"), others, 1e6)
		}
		assert.Equal(t, charged, 0.0, "%d lower answers after each higher one", lower)
	}
}

// Guards against increases that are not charged after an instance and its total are gone.
func TestIncreaseAfterADecreaseIsCharged(t *testing.T) {
	var c Charges
	charged := 0.0
	for i, others := range []uint64{10_000, 500, 500, 500, 500, 600, 700} {
		charged += c.Answered(time.Second+time.Duration(i)*600*time.Millisecond, key("a"), others, 1e6)
	}
	assert.Equal(t, charged, 200.0)
}

// Guards against an organisation that yields because a datagram arrives late or twice.
func TestLateDatagramIsNoCost(t *testing.T) {
	var totals Totals
	now := time.Second
	for _, total := range []uint64{100_000, 100_500, 100_400, 100_500, 100_600} {
		now += 50 * time.Millisecond
		totals.RecordPlaced(now, key("a"), "placer", total)
	}
	recent := totals.byKey[key("a")].recent
	assert.Assert(t, recent > 550 && recent <= 600, "%f", recent)
	assert.Equal(t, totals.Others(key("a"), 0), uint64(100_600))
	totals.RecordPlaced(now+time.Millisecond, key("a"), "placer", 100_600)
	for _, reported := range totals.groups[groupKey{"s", 0}].elsewhere {
		assert.Equal(t, len(reported), 0, "a duplicate")
	}
}

// Guards against a total that decreases by a refund, which stands for a restart.
func TestRefundIsTakenOffTheNextCost(t *testing.T) {
	var c Charges
	assert.Equal(t, c.Started(time.Second, key("a"), 100), uint64(100))
	c.Refunded(key("a"), 100)
	assert.Equal(t, c.Own(key("a")), uint64(100))
	assert.Equal(t, c.Started(time.Second, key("a"), 130), uint64(130))
}

// Guards against capacity that goes to whoever asks first, and against capacity that is kept for
// organisations that do not wait, wait for another model, or lack memory for a larger request.
func TestLeadingOrganisationYieldsToThoseThatWait(t *testing.T) {
	var totals Totals
	now := time.Second
	small, large := Request{Model: "m", Tokens: 100}, Request{Model: "m", Tokens: 10_000}
	totals.Placed(now, key("greedy"), Request{Model: "m", Tokens: 10_000})
	totals.Placed(now, key("b"), Request{Model: "m", Tokens: 1000})
	totals.Refused(now, key("greedy"), small, Saturated)
	assert.Assert(t, !totals.Yields(now, key("greedy"), small), "nobody else waits")
	totals.Refused(now, key("b"), large, LacksMemory)
	assert.Assert(t, !totals.Yields(now, key("greedy"), small), "there may be memory for a small one")
	assert.Assert(t, totals.Yields(now, key("greedy"), large))
	totals.Refused(now, key("b"), large, Saturated)
	assert.Assert(t, totals.Yields(now, key("greedy"), small))
	assert.Assert(t, !totals.Yields(now, key("greedy"), Request{Model: "other"}))
	assert.Assert(t, !totals.Yields(now, key("b"), small))
	assert.Assert(t, !totals.Yields(now+yieldWindow, key("greedy"), small))
}

// Guards against organisations that wait at another placer and are not known to wait here.
func TestUnchangedTotalSaysThatAnOrganisationWaits(t *testing.T) {
	var here, there Totals
	now := time.Second
	r := Request{Model: "m", Tokens: 100}
	here.Placed(now, key("greedy"), Request{Model: "m", Tokens: 10_000})
	here.Refused(now, key("greedy"), r, Saturated)
	there.Refused(now, key("b"), r, Saturated)
	for range 2 {
		for _, cost := range there.TakePlaced(now, 64) {
			here.RecordPlaced(now, cost.Key, "there", cost.Total)
		}
	}
	assert.Assert(t, here.Yields(now, key("greedy"), r))
	assert.Equal(t, len(there.TakePlaced(now, 64)), 0, "reported once for each refusal")
}

// Guards against reports of everything in every datagram, and against changes beyond the limit that
// are never reported.
func TestOnlyChangesAreReported(t *testing.T) {
	var totals Totals
	for i := range 100 {
		totals.Placed(time.Second, key(fmt.Sprint(i)), Request{Model: "m", Tokens: 10})
	}
	assert.Equal(t, len(totals.TakeZone(64)), 64)
	totals.Placed(time.Second, key("0"), Request{Model: "m", Tokens: 5})
	rest := totals.TakeZone(64)
	assert.Equal(t, len(rest), 37)
	assert.DeepEqual(t, rest[36], Cost{Key: key("0"), Total: 15})
	assert.Equal(t, len(totals.TakeZone(64)), 0)
}

// Guards against memory that grows with organisations and instances: 8,600 organisations and more
// of which 340 instances ask.
func TestMemoryIsBounded(t *testing.T) {
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	var totals Totals
	now, placers := time.Second, 0
	for i := range 12_000 {
		k := key(fmt.Sprintf("organisation-%d", i))
		totals.Placed(now, k, Request{Model: "m", Tokens: 100})
		totals.RecordZone(now, k, "z2", "far", 100)
		for n := range 6 {
			totals.RecordInstance(now, k, tables.InstanceID(fmt.Sprintf("instance-%d", (i*7+n)%340)), 100)
		}
		if totals.RecordPlaced(now, k, "placer", 100) {
			placers++
		}
	}
	used := heap() - before
	t.Logf("%d bytes", used)
	assert.Assert(t, used < 4<<20, "%d bytes", used)
	assert.Equal(t, len(totals.byKey), maxKeys)
	assert.Equal(t, placers, maxPlacers, "instances leave room for placers")
	now += 2 * forgetAfter
	totals.Placed(now, key("a"), Request{Model: "m", Tokens: 1})
	assert.Equal(t, len(totals.byKey), 1)
	assert.Equal(t, totals.instances+totals.placers, 0)
}
