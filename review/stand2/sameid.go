//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["sameid"] = sameID }

// taken is a stream as its consumer sees it.
type taken struct {
	id     string // of the consumer attempt that brought the first event
	last   int    // number of the last event
	whole  bool
	status int
	seal   string
	err    error
}

// stream sends a request for a stream, or takes one up again, and reads it.
func (i *instance) stream(id, path string, t *taken, total int, timeout time.Duration) {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	r, _ := http.NewRequest("POST", fmt.Sprintf("http://%s:%d%s", i.ip, portFront, path), strings.NewReader("prompt"))
	r.Host = "llais.example"
	r.Header.Set("X-Carawaystile-Attempt-Id", id)
	r.Header.Set("X-Carawaystile-Deadline-Ms", "15000")
	r.Header.Set("Authorization", key["Authorization"])
	r.Header.Set("X-Carawaystile-Model", "daka510000")
	r.Header.Set("X-Carawaystile-Token-Usage", "826,73")
	r.Header.Set("X-Carawaystile-Prefix-Hash", fmt.Sprintf("5c1e07a2:198,%08x:628", time.Now().UnixNano()&0xffffffff))
	if t.last > 0 {
		r.Header.Set("Last-Event-Id", strconv.Itoa(t.last))
		r.Header.Set("Resumes", t.id)
	}
	t.status = 0
	resp, err := client.Do(r)
	if t.err = err; err != nil {
		return
	}
	defer resp.Body.Close()
	t.status, t.seal = resp.StatusCode, resp.Header.Get("X-Carawaystile-Server-Seal")
	if resp.StatusCode != 200 {
		return
	}
	if t.id == "" {
		t.id = id
	}
	reader := bufio.NewReader(resp.Body)
	for {
		line, err := reader.ReadString('\n')
		if number, found := strings.CutPrefix(strings.TrimSpace(line), "id: "); found {
			t.last, _ = strconv.Atoi(number)
		}
		if err != nil {
			t.whole = err == io.EOF && t.last == total
			t.err = err
			return
		}
	}
}

// listLag is by how much the list lags.
const listLag = 800 * time.Millisecond

// restart stops a server as planned work does, and starts it again under its id: it says in its answers that it leaves, the
// list shows it as draining, it ends 3.3 s later and is off the list, and 1.2 s after that it is ready again.
func (e *engine) restart() error {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.lab.note("%s says in its answers that it leaves", e.id)
	time.Sleep(listLag)
	e.lab.setEntry(e.id, e.entry("draining"))
	e.lab.note("the list shows %s as draining", e.id)
	time.Sleep(3300 * time.Millisecond)
	e.http.Close()
	e.lab.setEntry(e.id, "")
	e.lab.note("%s has ended and is off the list", e.id)
	time.Sleep(1200 * time.Millisecond)
	e.mu.Lock()
	e.leaving = false
	e.mu.Unlock()
	e.ordersMu.Lock()
	e.sequence, e.fence, e.boot = 0, 0, time.Now().UnixMilli()
	e.ordersMu.Unlock()
	if err := e.start(); err != nil {
		return err
	}
	e.lab.setEntry(e.id, e.entry("ready"))
	e.lab.note("%s has started again under its id and is ready on the list", e.id)
	return nil
}

func sameID(l *lab, trouble bool) (bool, error) {
	const total, streams = 250, 60
	var engines []*engine
	for n := range 4 {
		e := l.newEngine(fmt.Sprintf("i-e%d", n), 110+n, []string{"abertawe", "castell-nedd"}[n%2])
		e.software = []string{"v1", "v2"}[n/2]
		e.events, e.gap = total, 45*time.Millisecond
		if err := e.start(); err != nil {
			return false, err
		}
		l.setEntry(e.id, e.entry("ready"))
		engines = append(engines, e)
	}
	if err := l.startAll(3); err != nil {
		return false, err
	}
	if err := l.putConfig(engineConfig(1)); err != nil {
		return false, err
	}
	for n := range 3 {
		if err := l.entry(n).awaitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Second)
	var begun, taken1, wentOn, whole atomic.Int64
	bothServe := make(chan struct{})
	var consumers sync.WaitGroup
	for n := range streams {
		consumers.Go(func() {
			t := &taken{}
			l.entry(n%3).stream(fmt.Sprintf("s-%d", n), "/sum/long", t, total, 15*time.Second)
			if t.last == 0 {
				l.note("s-%d did not begin: status %d, %v", n, t.status, t.err)
				return
			}
			begun.Add(1)
			if t.whole {
				whole.Add(1)
				return
			}
			l.note("s-%d (%s) breaks after event %d: %v", n, t.seal, t.last, t.err)
			<-bothServe
			taken1.Add(1)
			for try := range 2 { // the sheet: one retry
				before := t.last
				i := l.entry((n + 1 + try) % 3)
				i.stream(fmt.Sprintf("s-%d-%d", n, try), "/sum/long", t, total, 15*time.Second)
				l.note("s-%d is taken up after event %d at %s: status %d, to event %d", n, before, i.name, t.status, t.last)
				if t.last > before {
					wentOn.Add(1)
					return
				}
				time.Sleep(700 * time.Millisecond)
			}
		})
	}
	// Other consumers ask for short streams meanwhile, ten a second.
	stop := make(chan struct{})
	var others sync.WaitGroup
	for n := range 3 {
		others.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				t := &taken{}
				l.entry(n).stream(fmt.Sprintf("o-%d-%d", n, k), "/sum/short", t, 2, 2*time.Second)
			}
		})
	}
	if trouble {
		time.Sleep(500 * time.Millisecond)
		for _, e := range engines[:2] {
			if err := e.restart(); err != nil {
				return false, err
			}
			time.Sleep(1500 * time.Millisecond)
		}
	}
	// Both servers of v1 are ready on the list, which is read twice a second, for 1.5 s now.
	close(bothServe)
	fresh, freshV1 := 0, 0
	for n := range 12 {
		t := &taken{}
		l.entry(n%3).stream(fmt.Sprintf("new-%d", n), "/sum/short", t, 2, 2*time.Second)
		if t.last > 0 {
			fresh++
			if strings.HasPrefix(t.seal, "seal-i-e0") || strings.HasPrefix(t.seal, "seal-i-e1") {
				freshV1++
			}
		}
		l.note("new-%d: status %d, %s, to event %d", n, t.status, t.seal, t.last)
	}
	close(stop)
	others.Wait()
	consumers.Wait()
	l.note("%d of %d streams began, %d of them came whole at once; %d were taken up again by their consumers while both servers of v1 served, and %d of these went on; %d of 12 new streams began meanwhile, %d of them at v1", begun.Load(), streams, whole.Load(), taken1.Load(), wentOn.Load(), fresh, freshV1)
	return taken1.Load() >= 12 && float64(wentOn.Load())/float64(taken1.Load()) < 0.5*float64(fresh)/12, nil
}
