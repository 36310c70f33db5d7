//go:build review

// Case 1: the leader of the control group is replaced as planned, and another control machine loses
// its disk right after it has acknowledged a change: the group never decides or answers again.
package main

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/carawaystile/carawaystile/review/harness"
	"github.com/carawaystile/carawaystile/routes"
)

const (
	// catchUp is catch_up_s of the site, and recovery its recovery_s.
	catchUp  = 4 * time.Second
	recovery = 12 * time.Second
	// changeAfter is the time between the SIGTERM and the operator's next change.
	changeAfter = 300 * time.Millisecond
)

func configuration(revision uint64) routes.Configuration {
	return routes.Configuration{
		Revision: revision,
		Services: []routes.Service{{Name: "desg", MaxConnections: 96}},
		Routes: []routes.Route{{
			Name: "r-1", Host: "hulo84.example", Prefix: "/xapu221/", Kind: routes.Idempotent, MaxAttempts: 2,
			Timeout: 800 * time.Millisecond, TargetLatency: 150 * time.Millisecond,
			TrafficSplit: []routes.WeightedService{{Service: "desg", Weight: 1}},
		}},
		Organisations: []routes.Organisation{{ID: "tenant-a", Keys: []string{"ctnfzs989anu6wsjnban"}}},
		Limits:        routes.ClientLimits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// acknowledge sends a version to one machine after the other until it is acknowledged, and returns that machine.
func acknowledge(d *harness.Deployment, record *harness.Record, revision uint64, among []*harness.Instance) *harness.Instance {
	for n := range 40 {
		to := among[n%len(among)]
		if status := d.Put(to, configuration(revision)); status == 200 {
			record.Add("operator: version %d acknowledged by %s", revision, to.Name)
			return to
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

func play(record *harness.Record) (int, error) {
	d, err := harness.New(record, 2)
	if err != nil {
		return 0, err
	}
	defer d.Close(false)
	if err := d.StartAll(true); err != nil {
		return 0, err
	}
	if err := d.Configure(configuration(1)); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	old := d.Leader()
	if old == nil {
		return 0, fmt.Errorf("no leader")
	}
	successor := d.AddControl(0)
	if err := d.Start(successor, false); err != nil {
		return 0, err
	}
	record.Add("replace_core, planned: %s starts, empty, as the successor of %s, which leads", successor.Name, old.Name)
	time.Sleep(catchUp + 2*time.Second)
	old = d.Leader()
	if old == nil {
		return 0, fmt.Errorf("no leader")
	}
	var staying []*harness.Instance
	for _, i := range d.Controls {
		if i != old {
			staying = append(staying, i)
		}
	}
	record.Add("replace_core, planned: SIGTERM to %s", old.Name)
	old.Signal(syscall.SIGTERM)
	go func() {
		old.Wait()
		record.Add("%s has ended", old.Name)
	}()
	time.Sleep(changeAfter)
	var founders []*harness.Instance
	for _, i := range staying {
		if i != successor {
			founders = append(founders, i)
		}
	}
	acknowledged := acknowledge(d, record, 2, founders)
	const newest = uint64(2)
	if acknowledged == nil {
		return 0, fmt.Errorf("version 2 was not acknowledged in time")
	}
	if harness.Trouble() {
		record.Add("after_ack_wipe: %s loses its disk", acknowledged.Name)
		if err := acknowledged.Wipe(); err != nil {
			return 0, err
		}
		time.Sleep(time.Second)
		record.Add("%s starts again with an empty disk", acknowledged.Name)
		if err := d.Start(acknowledged, false); err != nil {
			return 0, err
		}
	}
	// The operator reads back for longer than recovery_s and twice contact_ms together.
	read, deadline := uint64(0), time.Now().Add(recovery+30*time.Second)
	for time.Now().Before(deadline) && read < newest {
		for _, i := range staying {
			status, version, _, err := d.Operator.GetConfiguration(context.Background(), i.Operators())
			if err == nil && status == 200 && version > read {
				read = version
				record.Add("operator: %s answers with version %d", i.Name, version)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	d.Leader()
	record.Add("CONFIG, LOST: read back after %v: version %d, acknowledged was %d", recovery+30*time.Second, read, newest)
	if read < newest {
		return harness.Broken, nil
	}
	return harness.Held, nil
}

func main() { harness.Main(play) }
