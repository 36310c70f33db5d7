//go:build review

// Case 3: a tenant becomes isolated, and requests of another tenant go on to use KV cache that
// its requests made before.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
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
	tenantA = "tenant-a"
	tenantB = "tenant-b"
	keyA    = "ctnfzs989anu6wsjnban"
	keyB    = "fqasnmgkcuyj8pjbvk9m"
	// applyTime is config_apply_ms of the site.
	applyTime = 2 * time.Second
)

func configuration(revision uint64, isolated bool) routes.Configuration {
	return routes.Configuration{
		Revision: revision,
		Services: []routes.Service{{Name: service, MaxConnections: 290, Slots: 48, KVCapacityTokens: 100_079, Models: []string{model}}},
		Routes: []routes.Route{{
			Name: "r-1", Host: host, Prefix: "/lepu270/", Kind: routes.Stream, Inference: true, MaxAttempts: 1,
			Timeout: 6 * time.Second, TargetLatency: time.Second, TargetEventGap: 600 * time.Millisecond,
			TrafficSplit: []routes.WeightedService{{Service: service, Weight: 1}},
		}},
		Organisations: []routes.Organisation{
			{ID: tenantA, Keys: []string{keyA}, Isolated: isolated},
			{ID: tenantB, Keys: []string{keyB}},
		},
		Limits: routes.ClientLimits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// runs are the executions that the servers have seen.
type runs struct {
	mu  sync.Mutex
	all []platformtest.Run
}

func run(record *harness.Record) (int, error) {
	d, err := harness.New(record, 3)
	if err != nil {
		return 0, err
	}
	defer d.Close(false)
	seen := &runs{}
	for n := range 3 {
		at := d.NextEndpoint()
		_, err := d.Fleet.Start(platformtest.Options{
			ID: tables.EndpointID(fmt.Sprintf("i-%d", n)), Service: service, Zone: tables.Zone(harness.Zones[n]), Software: "v1",
			Listen: at, Address: at, Slots: 48, Model: model, Weights: 1,
			ServiceTime: 20 * time.Millisecond, EventInterval: 5 * time.Millisecond,
			OnStart: func(r platformtest.Run) {
				seen.mu.Lock()
				defer seen.mu.Unlock()
				seen.all = append(seen.all, r)
				record.Add("run: %s at %s for %s, KV cache used of %v", r.Request, r.Endpoint, r.Organisation, r.ForeignOrganisations)
			},
		})
		if err != nil {
			return 0, err
		}
	}
	if err := d.StartAll(true); err != nil {
		return 0, err
	}
	if err := d.Configure(configuration(1, false)); err != nil {
		return 0, err
	}
	if err := d.AwaitReady(15 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	served := 0
	send := func(phase, key string, count int) {
		client := &http.Client{Timeout: 7 * time.Second}
		for n := range count {
			r := platformtest.ClientRequest{
				ID: fmt.Sprintf("%s-%d", phase, n), Host: host, Path: "/lepu270/2f", Key: key, Body: []byte("the prompt " + phase + fmt.Sprint(n)),
				Timeout: 6 * time.Second, Model: model, Tokens: "1460,5",
				Prefix: fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%08x:250", 0xe4400000+served),
			}
			served++
			request, err := r.Request(context.Background(), d.Entries[n%len(d.Entries)].Callers())
			if err != nil {
				record.Add("answer: %s: %v", r.ID, err)
				continue
			}
			resp, err := client.Do(request)
			if err != nil {
				record.Add("answer: %s: %v", r.ID, err)
				continue
			}
			result := r.CheckResponse(resp)
			_ = resp.Body.Close()
			record.Add("answer: %s: status %d, complete %v %s", r.ID, result.Status, result.Complete, result.Violation)
			time.Sleep(20 * time.Millisecond)
		}
	}
	send("a-before", keyA, 12)
	if harness.Trouble() {
		if err := d.Configure(configuration(2, true)); err != nil {
			return 0, err
		}
	}
	time.Sleep(2 * applyTime)
	send("a-after", keyA, 6)
	send("b-after", keyB, 12)
	seen.mu.Lock()
	defer seen.mu.Unlock()
	ran, broken := 0, 0
	for _, r := range seen.all {
		if r.Organisation != tenantB {
			continue
		}
		ran++
		if slices.Contains(r.ForeignOrganisations, tenantA) {
			broken++
			if harness.Trouble() {
				record.Add("WALL: %s of %s used KV cache that a request of the isolated %s made", r.Request, tenantB, tenantA)
			}
		}
	}
	if ran == 0 {
		return 0, fmt.Errorf("no request of %s ran", tenantB)
	}
	fmt.Fprintf(os.Stderr, "%d of %d requests of %s used KV cache of %s\n", broken, ran, tenantB, tenantA)
	if harness.Trouble() && broken > 0 {
		return harness.Broken, nil
	}
	return harness.Held, nil
}

func main() { harness.Main(run) }
