//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["longids"] = longIDs }

const (
	// crowdMemoryMB is the memory of the smallest entry machines of alp-notes.
	crowdMemoryMB = 120
	// crowdRate is how many streams a second the consumer that nobody controls asks each of crowdTargets machines for, on
	// crowdWorkers channels.
	crowdRate    = 320
	crowdTargets = 2
	crowdWorkers = 12
	crowdTime    = 100 * time.Second
	// crowdEnds is how often the processes of a machine end by themselves where the rule is broken.
	crowdEnds = 3
	// idBytes is the length of its ids: the header stays below max_header_bytes (16,384).
	idBytes = 15800
)

// memory returns the resident memory of a process and its peak, in bytes.
func (i *instance) memory() (now, peak int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.cmd.Process.Pid))
	value := func(name string) int {
		_, rest, _ := strings.Cut(string(text), name+":")
		number, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
		kb, _ := strconv.Atoi(number)
		return kb << 10
	}
	return value("VmRSS"), value("VmHWM")
}

// processorTime returns the processor time that a process has used.
func (i *instance) processorTime() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", i.cmd.Process.Pid))
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

func longIDs(l *lab, trouble bool) (bool, error) {
	l.memoryMB = crowdMemoryMB
	for n := range 4 {
		e := l.newEngine(fmt.Sprintf("i-e%d", n), 110+n, []string{"abertawe", "castell-nedd", "ystradgynlais"}[n%3])
		e.quiet, e.events, e.gap = true, 2, 2*time.Millisecond
		if err := e.start(); err != nil {
			return false, err
		}
		l.setEntry(e.id, e.entry("ready"))
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
	padding := ""
	if trouble {
		padding = strings.Repeat("f", idBytes-16)
	}
	var sent, served atomic.Int64
	var consumers sync.WaitGroup
	begin := time.Now()
	kills := make([]int, crowdTargets)
	failures := make([]error, crowdTargets)
	done := make(chan struct{})
	for t := range crowdTargets {
		target := l.entry(t)
		var count atomic.Int64
		for range crowdWorkers {
			consumers.Go(func() {
				client := http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{DisableCompression: true}}
				for {
					n := count.Add(1)
					// The consumer sends at an even pace.
					select {
					case <-done:
						return
					case <-time.After(time.Until(begin.Add(time.Duration(n) * time.Second / crowdRate))):
					}
					r, _ := http.NewRequest("POST", fmt.Sprintf("http://%s:%d/sum/a", target.ip, portFront), strings.NewReader("prompt"))
					r.Host = "llais.example"
					r.Header.Set("X-Carawaystile-Attempt-Id", fmt.Sprintf("%08x%08x%s", t, n, padding))
					r.Header.Set("X-Carawaystile-Deadline-Ms", "15000")
					r.Header.Set("Authorization", key["Authorization"])
					r.Header.Set("X-Carawaystile-Model", "daka510000")
					r.Header.Set("X-Carawaystile-Token-Usage", "100,8")
					r.Header.Set("X-Carawaystile-Prefix-Hash", "5c1e07a2:60,e4402b7d:40")
					sent.Add(1)
					resp, err := client.Do(r)
					if err != nil {
						continue
					}
					_, err = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					if err == nil && resp.StatusCode == 200 {
						served.Add(1)
					}
				}
			})
		}
		// The platform kills a process that uses more than its memory, and starts it again.
		consumers.Go(func() {
			for second := time.Now(); ; {
				select {
				case <-done:
					return
				case <-time.After(100 * time.Millisecond):
				}
				now, peak := target.memory()
				if time.Since(second) > 5*time.Second {
					second = time.Now()
					l.note("%s: memory %d MB, peak %d MB, %v of processor time", target.name, now>>20, peak>>20, target.processorTime())
				}
				if now <= crowdMemoryMB<<20 && target.running() {
					continue
				}
				kills[t]++
				l.note("%s: memory %d MB of %d MB, %v of processor time: killed, end %d", target.name, now>>20, crowdMemoryMB, target.processorTime(), kills[t])
				if target.running() {
					target.signal(syscall.SIGKILL)
				}
				for target.running() {
					time.Sleep(10 * time.Millisecond)
				}
				if failures[t] = target.start(false); failures[t] != nil {
					return
				}
				if failures[t] = target.awaitReady(10 * time.Second); failures[t] != nil {
					return
				}
			}
		})
	}
	time.Sleep(crowdTime)
	close(done)
	consumers.Wait()
	broken := true
	for t := range crowdTargets {
		if failures[t] != nil {
			return false, failures[t]
		}
		broken = broken && kills[t] >= crowdEnds
	}
	l.note("end: %d streams sent, %d served; ends of processes over their memory: %v", sent.Load(), served.Load(), kills)
	return broken, nil
}
