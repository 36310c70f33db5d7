//go:build review

// Case 2: the servers of a service are replaced by ones of another software version, all processes
// of the system are killed meanwhile, and streams that consumers take up again go on at the other
// version.
package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/carawaystile/carawaystile/platform/platformtest"
	"github.com/carawaystile/carawaystile/review/harness"
	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	service = "llais"
	model   = "m0"
	host    = "jepu9.example"
	key     = "ctnfzs989anu6wsjnban"
	// drainTime is drain_ms of the site, and listLag its list_lag_ms.
	drainTime = 3 * time.Second
	listLag   = 800 * time.Millisecond
	// releaseGap is the time between two servers of a release.
	releaseGap = time.Second
	// downTime is how long the processes are down.
	downTime = time.Second
	// timeLimit is the consumers' time limit.
	timeLimit = 15 * time.Second
	events    = 60
	streams   = 9
)

func configuration(revision uint64) routes.Configuration {
	return routes.Configuration{
		Revision: revision,
		Services: []routes.Service{{Name: service, MaxConnections: 290, Slots: 48, KVCapacityTokens: 100_079, Models: []string{model}}},
		Routes: []routes.Route{{
			Name: "r-1", Host: host, Prefix: "/lepu270/", Kind: routes.Stream, Inference: true, MaxAttempts: 2, Resumable: true,
			Timeout: timeLimit, TargetLatency: 800 * time.Millisecond, TargetEventGap: 600 * time.Millisecond,
			TrafficSplit: []routes.WeightedService{{Service: service, Weight: 1}},
		}},
		Organisations: []routes.Organisation{{ID: "tenant-a", Keys: []string{key}}},
		Limits:        routes.ClientLimits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// world is what the servers have run.
type world struct {
	record *harness.Record
	mu     sync.Mutex
	// software holds the versions at which each consumer attempt ran.
	software map[string][]string
}

func (w *world) start(d *harness.Deployment, id, software string, zone int) (*platformtest.Endpoint, error) {
	at := d.NextEndpoint()
	return d.Fleet.Start(platformtest.Options{
		ID: tables.EndpointID(id), Service: service, Zone: tables.Zone(harness.Zones[zone]), Software: software,
		Listen: at, Address: at, Slots: 48, Model: model, Weights: 1,
		ServiceTime: 20 * time.Millisecond, EventInterval: 200 * time.Millisecond,
		OnStart: func(r platformtest.Run) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.software[r.Request] = append(w.software[r.Request], r.Software)
			w.record.Add("run: %s at %s of software %s, after event %d", r.Request, r.Endpoint, r.Software, r.After)
		},
	})
}

// consumer asks for one stream and takes it up after a broken channel.
type consumer struct {
	name    string
	started time.Time
	// got lists the attempts that brought events, with their number.
	got   []string
	count int
	done  bool
}

// attempt makes one consumer attempt and reports whether the stream is complete.
func (c *consumer) attempt(w *world, to *harness.Instance, n int) bool {
	id := fmt.Sprintf("%s-%d", c.name, n)
	r := platformtest.ClientRequest{
		ID: id, Host: host, Path: "/lepu270/2f", Key: key, Body: []byte("prompt of " + c.name),
		Timeout: timeLimit - time.Since(c.started), Model: model, Tokens: fmt.Sprintf("600,%d", events),
		Prefix: "5c1e07a2:119," + fmt.Sprintf("%08x:250", len(c.name)), LastEvent: c.count,
	}
	if c.count > 0 {
		r.Resumes = c.got[0]
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.Timeout)
	defer cancel()
	request, err := r.Request(ctx, to.Callers())
	if err != nil {
		return false
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(request)
	if err != nil {
		w.record.Add("answer: %s from %s: no answer (%v)", id, to.Name, err)
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		w.record.Add("answer: %s from %s: status %d", id, to.Name, resp.StatusCode)
		return false
	}
	lines, first := bufio.NewScanner(resp.Body), true
	for lines.Scan() {
		if !strings.HasPrefix(lines.Text(), "id: ") {
			continue
		}
		if c.count++; first {
			c.got, first = append(c.got, id), false
		}
	}
	complete := lines.Err() == nil && c.count == events
	w.record.Add("answer: %s from %s: status 200, the consumer has %d events, complete %v (%v)", id, to.Name, c.count, complete, lines.Err())
	return complete
}

// run asks for the stream, and retries as the pages say: each time on a new channel, at another
// instance, within the time limit.
func (c *consumer) run(w *world, d *harness.Deployment, first int) {
	c.started = time.Now()
	for n := 0; n < 8 && time.Since(c.started) < timeLimit-time.Second; n++ {
		if c.done = c.attempt(w, d.Entries[(first+n)%len(d.Entries)], n); c.done {
			return
		}
		time.Sleep(time.Duration(100<<min(n, 3)) * time.Millisecond)
	}
}

func run(record *harness.Record) (int, error) {
	d, err := harness.New(record, 3)
	if err != nil {
		return 0, err
	}
	defer d.Close(false)
	w := &world{record: record, software: map[string][]string{}}
	var old []*platformtest.Endpoint
	for n := range 3 {
		e, err := w.start(d, fmt.Sprintf("i-old-%d", n), "v1", n)
		if err != nil {
			return 0, err
		}
		old = append(old, e)
	}
	if err := d.StartAll(true); err != nil {
		return 0, err
	}
	if err := d.Configure(configuration(1)); err != nil {
		return 0, err
	}
	if err := d.AwaitReady(15 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	var consumers []*consumer
	var waiting sync.WaitGroup
	for n := range streams {
		c := &consumer{name: fmt.Sprintf("stream-%d", n)}
		consumers = append(consumers, c)
		waiting.Go(func() { c.run(w, d, n) })
	}
	time.Sleep(time.Second)
	for n := range 3 {
		if n > 0 {
			time.Sleep(releaseGap)
		}
		record.Add("release: server i-new-%d of software v2 starts, i-old-%d of v1 drains", n, n)
		if _, err := w.start(d, fmt.Sprintf("i-new-%d", n), "v2", n); err != nil {
			return 0, err
		}
		old[n].Drain()
	}
	time.Sleep(drainTime + 200*time.Millisecond)
	if err := d.Configure(configuration(2)); err != nil {
		return 0, err
	}
	if harness.Trouble() {
		record.Add("final fault: all processes of the system are killed")
		for _, i := range d.Instances() {
			i.Kill()
		}
	}
	time.Sleep(50 * time.Millisecond)
	record.Add("release: the servers of v1 end")
	for _, e := range old {
		e.Crash()
	}
	time.Sleep(listLag)
	for _, e := range old {
		d.Fleet.Deregister(e.ID)
	}
	record.Add("release: the list no longer shows the servers of v1")
	time.Sleep(downTime - listLag - 50*time.Millisecond)
	if harness.Trouble() {
		record.Add("the processes start again")
		if err := d.StartAll(false); err != nil {
			return 0, err
		}
	}
	waiting.Wait()
	mixed := 0
	for _, c := range consumers {
		versions := map[string]bool{}
		for _, id := range c.got {
			w.mu.Lock()
			ran := w.software[id]
			w.mu.Unlock()
			// Of an attempt that ran more than once, it isn't known which run brought the events.
			if len(ran) == 1 {
				versions[ran[0]] = true
			}
		}
		record.Add("consumer %s: %d events, of attempts %v, of software versions %v", c.name, c.count, c.got, versions)
		if len(versions) > 1 {
			mixed++
		}
	}
	record.Add("ORDER: %d streams hold events from servers of two software versions; more than two break the rule", mixed)
	fmt.Fprintf(os.Stderr, "%d of %d streams hold events of two software versions\n", mixed, streams)
	if mixed > 2 {
		return harness.Broken, nil
	}
	return harness.Held, nil
}

func main() { harness.Main(run) }
