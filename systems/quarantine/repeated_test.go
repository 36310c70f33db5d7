package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

// exchangeConvictions has instances repeat their convictions to each other, late by the time in transit.
func exchangeConvictions(from, until tables.Instant, instances ...*Detector) {
	const interval, transit = 110 * time.Millisecond, 100 * time.Millisecond
	for now := from; now < until; now += interval {
		var sent [][]Suspect
		for _, d := range instances {
			sent = append(sent, d.ConvictionReports(now, 64))
		}
		for n, reports := range sent {
			for m, d := range instances {
				for _, report := range reports {
					if m != n {
						d.Merge(now+transit, report)
					}
				}
			}
		}
	}
}

// Guards against a conviction that lasts for ever since instances repeat it to each other, and it seems
// more recent each time.
func TestRepeatedConvictionsEnd(t *testing.T) {
	one, other := New(Options{}), New(Options{})
	one.SetRank(0, 2)
	other.SetRank(1, 2)
	now := tables.Instant(time.Second)
	one.Merge(now, Suspect{Fingerprint: 7, Convicted: true})
	one.Merge(now, Suspect{Part: 9, Convicted: true, Convictions: 1})
	released := now + firstSentence + releaseStagger + 2*time.Second
	exchangeConvictions(now, released, one, other)
	ended := now + DefaultRetention + 2*time.Second
	for _, d := range []*Detector{one, other} {
		assert.Equal(t, d.Verdict(now+time.Second, Work{Request: 7}), Reject)
		assert.Equal(t, d.Verdict(released, Work{Request: 1, Parts: []Part{9}}), Allow)
	}
	exchangeConvictions(released, ended, one, other)
	for _, d := range []*Detector{one, other} {
		assert.Equal(t, d.Verdict(ended, Work{Request: 7}), Allow)
	}
}

// Guards against the conviction by an instance itself, or a crash since, that counts as older than it is.
func TestOwnConvictionIsReportedWithItsAge(t *testing.T) {
	d := New(Options{})
	now := tables.Instant(time.Second)
	d.Merge(now, Suspect{Part: 9, Convicted: true, Convictions: 1})
	assert.Equal(t, d.ConvictionReports(now, 1)[0].Age, maxReportDelay)
	now += time.Second
	for n, endpoint := range []tables.EndpointID{"a", "b"} {
		d.Merge(now, crashWith(endpoint, tables.Fingerprint(n+1)))
	}
	assert.Equal(t, d.ConvictionReports(now, 1)[0].Age, time.Duration(0))
	d.Merge(now, Suspect{Fingerprint: 7, Convicted: true})
	assert.Equal(t, d.ConvictionReports(now, 2)[1].Age, maxReportDelay)
	d.convict(now+1, 7, false)
	assert.Equal(t, d.ConvictionReports(now+1, 2)[0].Age, time.Duration(0))
}
