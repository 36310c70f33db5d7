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

// countingConn counts bytes in both directions.
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

// BenchmarkIdle measures what 3 control instances cost while nothing changes, by
// themselves and with 340 followers, over two rounds of polls.
func BenchmarkIdle(b *testing.B) {
	const seconds = 9
	for _, followers := range []int{0, 340} {
		b.Run(fmt.Sprint("followers=", followers), func(b *testing.B) {
			f := newFanOut(b, followers)
			f.change(0)
			for b.Loop() {
				start := f.bytes.Load()
				used := processorTime()
				time.Sleep(seconds * time.Second)
				b.ReportMetric(float64(f.bytes.Load()-start)/seconds/3, "follower_bytes/s/control_instance")
				b.ReportMetric(float64((processorTime()-used).Microseconds())/seconds/3, "cpu_us/s/control_instance")
			}
		})
	}
}

// fanOut is followers without disks of 3 control instances.
type fanOut struct {
	*cluster
	followers int
	bytes     atomic.Int64
	inForce   chan tables.Revision
}

func newFanOut(b *testing.B, followers int) *fanOut {
	f := &fanOut{cluster: newCluster(b, 3, 0), followers: followers, inForce: make(chan tables.Revision, followers*4)}
	f.follow(b)
	return f
}

// follow starts the followers.
func (f *fanOut) follow(b *testing.B) {
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

// change applies one revision and waits until it is in force at all followers.
func (f *fanOut) change(revision uint64) {
	answer := f.apply(0, fmt.Sprint("r", revision), revision, time.Duration(revision+1)*time.Second)
	assert.Assert(f.t, answer.GetAccepted() != nil)
	for range f.followers {
		<-f.inForce
	}
}

// BenchmarkHerd measures how long 340 instances without disks need that start at
// once and take the whole configuration of 8,600 organisations and 1,100
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
		_, err = c.instances[0].service.Apply(c.long(), &rpc.ApplyRequest{Request: "large", Items: items})
		assert.NilError(b, err)
		used := processorTime()
		start := time.Now()
		b.StartTimer()
		f := &fanOut{cluster: c, followers: followers, inForce: make(chan tables.Revision, followers)}
		f.follow(b)
		var times []time.Duration
		for range followers {
			<-f.inForce
			times = append(times, time.Since(start))
		}
		reportTimes(b, "in_force", times)
		b.ReportMetric(float64(f.bytes.Load())/followers, "bytes/follower")
		b.ReportMetric((processorTime() - used).Seconds(), "cpu_s")
	}
}

// BenchmarkFanOut measures what a change costs when 340 instances follow 3
// control instances, the followers without disks.
func BenchmarkFanOut(b *testing.B) {
	for _, followers := range []int{20, 100, 340} {
		b.Run(fmt.Sprint("followers=", followers), func(b *testing.B) { benchmarkFanOut(b, followers) })
	}
}

func benchmarkFanOut(b *testing.B, followers int) {
	f := newFanOut(b, followers)
	f.change(0)
	var times []time.Duration
	start := f.bytes.Load()
	used := processorTime()
	revision := uint64(1)
	b.ResetTimer()
	for b.Loop() {
		began := time.Now()
		f.change(revision)
		times = append(times, time.Since(began))
		revision++
	}
	changes := float64(revision - 1)
	reportTimes(b, "in_force", times)
	b.ReportMetric(float64(f.bytes.Load()-start)/changes/3, "bytes/change/control_instance")
	b.ReportMetric(float64(f.bytes.Load()-start)/changes/float64(followers), "bytes/change/follower")
	b.ReportMetric(float64(processorTime()-used)/float64(time.Microsecond)/changes, "cpu_us/change")
}

func processorTime() time.Duration {
	var usage unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
