//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["poison"] = poison }

const (
	// crashTime is how long a server that crashed is down.
	crashTime = 2 * time.Second
	contact   = 3 * time.Second
	// maxTime is when no more requests are sent.
	maxTime = 105 * time.Second
)

// crashing is a server that a request with "crash" in its path ends, and that starts again under its id.
type crashing struct {
	*server
	mu      sync.Mutex
	crashes int
}

// arrivals are those of one request that crashes servers.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

func poison(l *lab, trouble bool) (bool, error) {
	seen := map[string]*arrivals{}
	var mu sync.Mutex
	var servers []*crashing
	for n := range 3 {
		s := &crashing{server: l.newServer(fmt.Sprintf("i-a%d", n), "desg", 100+n, []string{"abertawe", "castell-nedd", "ystradgynlais"}[n])}
		s.server.quiet = true
		s.server.handle = func(w http.ResponseWriter, r *http.Request) {
			if strings.Contains(r.URL.Path, "/crash") {
				mu.Lock()
				a := seen[r.URL.Path]
				if a == nil {
					a = &arrivals{}
					seen[r.URL.Path] = a
				}
				a.times = append(a.times, time.Now())
				count := len(a.times)
				mu.Unlock()
				l.note("server %s begins to run %s (the %d. time) and crashes", s.id, r.URL.Path, count)
				s.crash()
				panic(http.ErrAbortHandler)
			}
			time.Sleep(200 * time.Millisecond)
			w.Header().Set("Content-Length", "800")
			_, _ = w.Write(make([]byte, 800))
		}
		if err := s.start(); err != nil {
			return false, err
		}
		l.setEntry(s.id, s.entry("ready"))
		servers = append(servers, s)
	}
	if err := l.startAll(3); err != nil {
		return false, err
	}
	if err := l.putConfig(plainConfig(1)); err != nil {
		return false, err
	}
	for n := range 3 {
		if err := l.entry(n).awaitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Second)
	// Sound requests that may run once, nine a second.
	stop := make(chan struct{})
	var sound sync.WaitGroup
	var sent, served, lost atomic.Int64
	for n := range 3 {
		sound.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(130 * time.Millisecond):
				}
				id := fmt.Sprintf("sound-%d-%d", n, k)
				sent.Add(1)
				a := l.entry(n).send("POST", "desg.example", "/issue/x", id, 1500*time.Millisecond, key, id)
				ran := 0
				for _, s := range servers {
					ran += s.ran(id)
				}
				if a.status == 200 {
					served.Add(1)
				} else if ran > 0 {
					lost.Add(1)
					l.note("%s ran and is lost: %v", id, a)
				}
			}
		})
	}
	paths := []string{"/issue/crash-a", "/issue/crash-b", "/issue/crash-c"}
	tries := []int{8, 12, 14}
	if !trouble {
		tries = []int{0, 0, 0}
		time.Sleep(20 * time.Second)
	}
	broken := false
	for p, path := range paths {
		refused := 0
		for try := 0; try < tries[p] && refused < 3 && time.Since(l.start) < maxTime; try++ {
			a := l.entry((p+try)%3).send("POST", "desg.example", path, fmt.Sprintf("%s-%d", path[7:], try), 1500*time.Millisecond, key, "body of "+path)
			l.note("%s, try %d: %v", path, try+1, a)
			if a.status == 503 {
				refused++
			} else {
				refused = 0
			}
			time.Sleep(crashTime + 300*time.Millisecond)
		}
		mu.Lock()
		a := seen[path]
		late := 0
		if a != nil && len(a.times) >= 3 {
			for _, at := range a.times[3:] {
				if at.Sub(a.times[2]) > contact {
					late++
				}
			}
		}
		if a != nil {
			l.note("%s has crashed servers %d times; %d of them later than 3 s after the third", path, len(a.times), late)
		}
		mu.Unlock()
		broken = broken || late > 3
	}
	close(stop)
	sound.Wait()
	l.note("%d sound requests sent, %d served, %d ran and were lost", sent.Load(), served.Load(), lost.Load())
	return broken, nil
}

// crash ends the server, with its listener first, and starts it again under its id.
func (s *crashing) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes++
	old := s.server.http
	go func() {
		old.Close()
		time.Sleep(crashTime)
		s.server.mu.Lock()
		s.server.running = 0
		s.server.mu.Unlock()
		if err := s.server.start(); err != nil {
			s.lab.note("%s: %v", s.id, err)
		}
		s.lab.setEntry(s.id, s.entry("ready"))
	}()
}
