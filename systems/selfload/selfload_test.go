package selfload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// player feeds a detector with a sample each quarter of a second.
type player struct {
	*Detector
	now    time.Duration
	sample Sample
}

const step = 250 * time.Millisecond

func newPlayer() *player {
	return &player{Detector: NewDetector(Limits{Processors: 0.144, LinkBytesPerSecond: 7.5e6 / 8, BufferBytes: 1000})}
}

// play uses the given fractions of the limits for a time, and returns after which time Loaded has
// changed; 0 if it has not.
func (p *player) play(d time.Duration, processor, sent, buffers float64) (changedAfter time.Duration) {
	for t := step; t <= d; t += step {
		p.now += step
		p.sample.Processor += time.Duration(processor * 0.144 * float64(step))
		p.sample.SentBytes += uint64(sent * 7.5e6 / 8 * step.Seconds())
		p.sample.Buffered = int64(1000 * buffers)
		if p.Observe(p.now, p.sample) && changedAfter == 0 {
			changedAfter = t
		}
	}
	return changedAfter
}

// Guards against an instance at its limit that others go on giving work to.
func TestEachLimitRaisesTheLoad(t *testing.T) {
	for _, one := range []struct {
		reason                   Reason
		processor, sent, buffers float64
	}{{Processor, 0.95, 0, 0}, {Sent, 0, 0.95, 0}, {Buffers, 0, 0, 0.95}} {
		p := newPlayer()
		assert.Equal(t, p.play(5*time.Second, 0.8, 0.8, 0.8), time.Duration(0))
		changed := p.play(3*time.Second, one.processor, one.sent, one.buffers)
		assert.Assert(t, changed > 0 && changed <= 1500*time.Millisecond, "%s: loaded after %v", one.reason, changed)
		reason, _ := p.Use().Highest()
		assert.Equal(t, reason, one.reason)
	}
}

// Guards against rows that change with each short pause of the load.
func TestLoadEndsAfterTwoSecondsBelowTheLowerThreshold(t *testing.T) {
	p := newPlayer()
	p.play(3*time.Second, 1, 0, 0)
	assert.Assert(t, p.Loaded())
	for range 4 {
		assert.Equal(t, p.play(1500*time.Millisecond, 0.3, 0, 0), time.Duration(0))
		assert.Equal(t, p.play(1500*time.Millisecond, 0.95, 0, 0), time.Duration(0))
	}
	assert.Equal(t, p.play(5*time.Second, 0.78, 0, 0), time.Duration(0))
	changed := p.play(5*time.Second, 0.5, 0, 0)
	assert.Assert(t, changed >= 2*time.Second && changed <= 3*time.Second, "not loaded after %v", changed)
}
