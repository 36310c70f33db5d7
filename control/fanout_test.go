package control

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/control/configuration"
	"github.com/carawaystile/carawaystile/control/follower"
	"github.com/carawaystile/carawaystile/control/transport"
	"github.com/carawaystile/carawaystile/keys"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// countingConn counts the bytes in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkIdle measures the cost of 3 control instances while nothing changes,
// without followers and with 340, over two rounds of long polls.
func BenchmarkIdle(b *testing.B) {
	const seconds = 9
	for _, followers := range []int{0, 340} {
		b.Run(fmt.Sprint("followers=", followers), func(b *testing.B) {
			f := newFanOut(b, followers)
			f.applyAndAwait(0)
			for b.Loop() {
				start := f.bytes.Load()
				cpuBefore := processCPUTime()
				time.Sleep(seconds * time.Second)
				b.ReportMetric(float64(f.bytes.Load()-start)/seconds/3, "follower_bytes/s/control_instance")
				b.ReportMetric(float64((processCPUTime()-cpuBefore).Microseconds())/seconds/3, "cpu_us/s/control_instance")
			}
		})
	}
}

// fanOut is a cluster of 3 control instances with followers that have no cache.
type fanOut struct {
	*cluster
	followers int
	bytes     atomic.Int64
	inForce   chan tables.Revision
}

// newFanOut starts a cluster and its followers.
func newFanOut(b *testing.B, followers int) *fanOut {
	f := &fanOut{cluster: newCluster(b, 3, 0), followers: followers, inForce: make(chan tables.Revision, followers*4)}
	f.startFollowers(b)
	return f
}

// startFollowers starts the followers, whose traffic is counted.
func (f *fanOut) startFollowers(b *testing.B) {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{conn, &f.bytes}, err
	}
	client := &http.Client{Transport: &keys.Transport{
		Ring: f.ring, Base: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: f.followers},
	}}
	dialer := transport.NewDialer(client)
	for i := range f.followers {
		one := follower.Start(follower.Options{
			Instance:        tables.InstanceID(fmt.Sprintf("instance-%03d", i)),
			Sources:         func() []follower.Source { return []follower.Source{dialer.Control(f.instances[i%3].address)} },
			OnConfiguration: func(configuration *tables.Configuration) { f.inForce <- configuration.Revision },
		})
		b.Cleanup(one.Close)
	}
}

// applyAndAwait applies one revision and waits until all followers have applied it.
func (f *fanOut) applyAndAwait(revision uint64) {
	answer := f.apply(0, fmt.Sprint("r", revision), revision, time.Duration(revision+1)*time.Second)
	assert.Assert(f.t, answer.GetAccepted() != nil)
	for range f.followers {
		<-f.inForce
	}
}

// BenchmarkHerd measures a thundering herd: 340 instances without a cache start at
// once and fetch the complete configuration of 8,600 organisations and 1,100
// endpoints from 3 control instances.
func BenchmarkHerd(b *testing.B) {
	const followers = 340
	for b.Loop() {
		b.StopTimer()
		c := newCluster(b, 3, 0)
		var large tables.Configuration
		for i := range 8600 {
			withOrganisation(&large, i)
		}
		for i := range 1100 {
			withEndpoint(&large, i)
		}
		items, err := configuration.Encode(large)
		assert.NilError(b, err)
		_, err = c.instances[0].service.Apply(c.testContext(), &rpc.ApplyRequest{Request: "large", Items: items})
		assert.NilError(b, err)
		cpuBefore := processCPUTime()
		start := time.Now()
		b.StartTimer()
		f := &fanOut{cluster: c, followers: followers, inForce: make(chan tables.Revision, followers)}
		f.startFollowers(b)
		var times []time.Duration
		for range followers {
			<-f.inForce
			times = append(times, time.Since(start))
		}
		reportTimes(b, "in_force", times)
		b.ReportMetric(float64(f.bytes.Load())/followers, "bytes/follower")
		b.ReportMetric((processCPUTime() - cpuBefore).Seconds(), "cpu_s")
	}
}

// BenchmarkFanOut measures the cost of a change when up to 340 followers without a
// cache follow 3 control instances.
func BenchmarkFanOut(b *testing.B) {
	for _, followers := range []int{20, 100, 340} {
		b.Run(fmt.Sprint("followers=", followers), func(b *testing.B) { benchmarkFanOut(b, followers) })
	}
}

// benchmarkFanOut measures it for one number of followers.
func benchmarkFanOut(b *testing.B, followers int) {
	f := newFanOut(b, followers)
	f.applyAndAwait(0)
	var times []time.Duration
	start := f.bytes.Load()
	used := processCPUTime()
	revision := uint64(1)
	b.ResetTimer()
	for b.Loop() {
		began := time.Now()
		f.applyAndAwait(revision)
		times = append(times, time.Since(began))
		revision++
	}
	changes := float64(revision - 1)
	reportTimes(b, "in_force", times)
	b.ReportMetric(float64(f.bytes.Load()-start)/changes/3, "bytes/change/control_instance")
	b.ReportMetric(float64(f.bytes.Load()-start)/changes/float64(followers), "bytes/change/follower")
	b.ReportMetric(float64(processCPUTime()-used)/float64(time.Microsecond)/changes, "cpu_us/change")
}

// processCPUTime returns the user and system CPU time that this process has
// consumed.
func processCPUTime() time.Duration {
	var usage unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
