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
	"time"
)

func init() { cases["longids"] = longIDs }

const (
	// crowdMemoryMB is the memory of the smallest entry machines of alp-notes.
	crowdMemoryMB = 120
	// crowdStreams is how many streams the consumer that nobody controls asks for, 160 a second, and crowdWorkers on how
	// many channels.
	crowdStreams = 12000
	crowdWorkers = 12
	crowdTime    = 75 * time.Second
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
	target := l.entry(0)
	padding := ""
	if trouble {
		padding = strings.Repeat("f", idBytes-16)
	}
	var sent, served atomic.Int64
	var workers sync.WaitGroup
	begin := time.Now()
	for range crowdWorkers {
		workers.Go(func() {
			client := http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{DisableCompression: true}}
			for {
				n := sent.Add(1)
				// The consumer sends at an even pace.
				time.Sleep(time.Until(begin.Add(time.Duration(n) * crowdTime / crowdStreams)))
				if n > crowdStreams || time.Since(begin) > crowdTime || !target.running() {
					return
				}
				r, _ := http.NewRequest("POST", fmt.Sprintf("http://%s:%d/sum/a", target.ip, portFront), strings.NewReader("prompt"))
				r.Host = "llais.example"
				r.Header.Set("X-Carawaystile-Attempt-Id", fmt.Sprintf("%016x%s", n, padding))
				r.Header.Set("X-Carawaystile-Deadline-Ms", "15000")
				r.Header.Set("Authorization", key["Authorization"])
				r.Header.Set("X-Carawaystile-Model", "daka510000")
				r.Header.Set("X-Carawaystile-Token-Usage", "100,8")
				r.Header.Set("X-Carawaystile-Prefix-Hash", "5c1e07a2:60,e4402b7d:40")
				resp, err := client.Do(r)
				if err != nil {
					continue
				}
				_, err = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if n%200 == 0 {
					l.note("stream %d, id of %d bytes: status %d, %v", n, 16+len(padding), resp.StatusCode, err)
				}
				if err == nil && resp.StatusCode == 200 {
					served.Add(1)
				}
			}
		})
	}
	done := make(chan struct{})
	go func() { workers.Wait(); close(done) }()
	over, ordinary := false, 0
	for second := 0; ; second++ {
		select {
		case <-done:
			now, peak := target.memory()
			l.note("end: %d sent, %d streams served, memory %d MB, peak %d MB of %d MB; %d ordinary requests of %d served; %v of processor time", min(sent.Load(), crowdStreams), served.Load(), now>>20, peak>>20, crowdMemoryMB, ordinary, second, target.processorTime())
			return over || peak > crowdMemoryMB<<20, nil
		case <-time.After(time.Second):
		}
		a := target.send("POST", "llais.example", "/sum/a", fmt.Sprintf("ordinary-%d", second), 5*time.Second, map[string]string{
			"Authorization": key["Authorization"], "X-Carawaystile-Model": "daka510000", "X-Carawaystile-Token-Usage": "100,8", "X-Carawaystile-Prefix-Hash": "5c1e07a2:60,e4402b7d:40"}, "prompt")
		if a.status == 200 && a.err == nil {
			ordinary++
		}
		if !target.running() {
			return true, nil
		}
		now, peak := target.memory()
		over = over || now > crowdMemoryMB<<20
		if second%5 == 0 {
			l.note("%d sent, %d served, memory %d MB, peak %d MB, %v of processor time", sent.Load(), served.Load(), now>>20, peak>>20, target.processorTime())
		}
	}
}
