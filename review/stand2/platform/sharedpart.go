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

func init() { cases["sharedpart"] = sharedPart }

// taken is a stream as its consumer sees it.
type taken struct {
	id     string // of the consumer attempt that brought the first event
	last   int    // number of the last event
	whole  bool
	status int
	seal   string
	err    error
}

// prompt is what a consumer says of its request.
type prompt struct {
	path, usage, shared string
	events              int
}

var (
	// long prompts share a part that is new, and their answers take ten seconds.
	long = prompt{path: "/sum/long", usage: "826,1000", shared: "5c1e07a2:198", events: 250}
	// short ones share another part.
	short = prompt{path: "/sum/short", usage: "500,8", shared: "77aa01b3:200", events: 2}
)

// stream sends a request for a stream, or takes one up again, and reads it.
func (i *instance) stream(id string, p *prompt, t *taken, timeout time.Duration) {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	first := id
	if t.id != "" {
		first = t.id
	}
	r, _ := http.NewRequest("POST", fmt.Sprintf("http://%s:%d%s", i.ip, portFront, p.path), strings.NewReader("prompt of "+first))
	r.Host = "llais.example"
	r.Header.Set("X-Carawaystile-Attempt-Id", id)
	r.Header.Set("X-Carawaystile-Deadline-Ms", "15000")
	r.Header.Set("Authorization", key["Authorization"])
	r.Header.Set("X-Carawaystile-Model", "daka510000")
	r.Header.Set("X-Carawaystile-Token-Usage", p.usage)
	r.Header.Set("X-Carawaystile-Prefix-Hash", p.shared+","+fmt.Sprintf("%x:300", first))
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
			t.whole = err == io.EOF && t.last == p.events
			t.err = err
			return
		}
	}
}

// busiest returns the server that runs most requests, of those that have not crashed.
func busiest(engines []*engine) *engine {
	var best *engine
	most := -1
	for _, e := range engines {
		e.mu.Lock()
		if running := e.running; !e.down && running > most {
			best, most = e, running
		}
		e.mu.Unlock()
	}
	return best
}

func sharedPart(l *lab, trouble bool) (bool, error) {
	const streams, servers = 72, 7
	var engines []*engine
	for n := range servers {
		e := l.newEngine(fmt.Sprintf("i-e%d", n), 110+n, []string{"abertawe", "castell-nedd", "ystradgynlais"}[n%3])
		e.events, e.gap, e.quiet = long.events, 40*time.Millisecond, true
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

	var begun, again, wentOn, whole atomic.Int64
	var others sync.WaitGroup
	var newShort, newShortBegun, newLong, newLongBegun atomic.Int64
	var counting atomic.Bool
	stop := make(chan struct{})
	ask := func(name string, p *prompt, pause time.Duration, asked, began *atomic.Int64) {
		others.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				others.Go(func() {
					t := &taken{}
					counts := counting.Load()
					l.entry(n%3).stream(fmt.Sprintf("%s-%d", name, n), p, t, 12*time.Second)
					if !counts {
						return
					}
					asked.Add(1)
					if t.last > 0 {
						began.Add(1)
					}
					if p == &long {
						l.note("%s-%d, a new stream: status %d, %s, to event %d", name, n, t.status, t.seal, t.last)
					}
				})
			}
		})
	}
	ask("short", &short, 100*time.Millisecond, &newShort, &newShortBegun)
	time.Sleep(2 * time.Second)
	var consumers sync.WaitGroup
	for n := range streams {
		consumers.Go(func() {
			time.Sleep(time.Duration(n) * time.Second / 12) // twelve a second
			t := &taken{}
			l.entry(n%3).stream(fmt.Sprintf("s-%d", n), &long, t, 15*time.Second)
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
			time.Sleep(3 * time.Second)
			again.Add(1)
			for try := range 2 { // the sheet: one retry
				before := t.last
				i := l.entry((n + 1 + try) % 3)
				i.stream(fmt.Sprintf("s-%d-%d", n, try), &long, t, 15*time.Second)
				l.note("s-%d is taken up after event %d at %s: status %d, to event %d", n, before, i.name, t.status, t.last)
				if t.last > before {
					wentOn.Add(1)
					return
				}
				time.Sleep(800 * time.Millisecond)
			}
		})
	}
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		for n := range 2 {
			e := busiest(engines)
			e.down = true
			_ = e.http.Close()
			l.note("%s crashes", e.id)
			go func() {
				time.Sleep(2 * time.Second)
				l.setEntry(e.id, "")
				e.id += string(rune('b' + n))
				if err := e.start(); err != nil {
					l.note("%s: %v", e.id, err)
				}
				l.setEntry(e.id, e.entry("ready"))
				l.note("%s has started in its place", e.id)
			}()
			time.Sleep(1200 * time.Millisecond)
		}
	}
	ask("long", &long, 500*time.Millisecond, &newLong, &newLongBegun)
	counting.Store(true)
	time.Sleep(5 * time.Second)
	close(stop)
	consumers.Wait()
	others.Wait()
	l.note("%d of %d streams began, %d of them came whole at once; %d were taken up again by their consumers, and %d of these went on", begun.Load(), streams, whole.Load(), again.Load(), wentOn.Load())
	l.note("new streams meanwhile: %d of %d with the other shared part began, %d of %d with the same one", newShortBegun.Load(), newShort.Load(), newLongBegun.Load(), newLong.Load())
	fresh := float64(newShortBegun.Load()+newLongBegun.Load()) / float64(newShort.Load()+newLong.Load())
	return again.Load() >= 12 && float64(wentOn.Load())/float64(again.Load()) < 0.5*fresh, nil
}
