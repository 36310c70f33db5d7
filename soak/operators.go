package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/carawaystile/carawaystile/platform/platformtest"
	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// operatorWait is how long an operator waits for an answer before it goes on
	// to another instance.
	operatorWait = time.Second
	// operatorPause is between two tries.
	operatorPause = 100 * time.Millisecond
	readPeriod    = 150 * time.Millisecond
)

// operators send configurations and weights, and read back what is in force.
type operators struct {
	d       *deployment
	call    platformtest.OperatorClient
	stop    chan struct{}
	running sync.WaitGroup

	mu     sync.Mutex
	rng    *rand.Rand
	number uint64
	// losing is the part of answers that operators do not get.
	losing float64
}

func newOperators(d *deployment) *operators {
	return &operators{
		d: d, stop: make(chan struct{}), rng: rand.New(rand.NewPCG(d.options.Seed, 3)),
		call: platformtest.OperatorClient{Client: &http.Client{Timeout: operatorWait, Transport: &http.Transport{DisableKeepAlives: true}}},
	}
}

// configuration is what every document declares; only its number and the
// probe's organisation change, and how many further routes there are.
func (o *operators) configuration(number uint64, more int) routes.Configuration {
	c := routes.Configuration{
		Revision: number,
		Services: []routes.Service{
			{Name: serviceModels, MaxConnections: 300, Slots: modelSlots, KVCapacityTokens: 90_000, Models: []string{model}},
			{Name: serviceDesk, MaxConnections: 100},
			{Name: serviceStore, KVCapacityTokens: 400_000, KVStoreAddress: o.d.storeAddress(), KVStoreZone: zoneName(0)},
		},
		Organisations: []routes.Organisation{
			{ID: tables.OrganisationID(organisationOf(number)), Keys: []string{keyProbe}},
			{ID: alone, Keys: []string{keyAlone}, Isolated: true},
			{ID: common, Keys: []string{keyCommon}, UsageLimit: o.rateLimit()},
		},
		Limits: routes.ClientLimits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	if o.d.options.Capacity {
		declareBackups(&c.Services[0])
	}
	for _, k := range kinds {
		r := k.route
		r.Name, r.Host = "r-"+k.name, host
		r.Timeout, r.TargetLatency, r.TargetEventGap = callerWait, 300*time.Millisecond, 300*time.Millisecond
		if o.d.options.Capacity {
			r.Timeout = max(callerWait, k.contendedTimeout()) // it bounds what callers ask for
		}
		r.TrafficSplit = []routes.WeightedService{{Service: k.service, Weight: 1}}
		c.Routes = append(c.Routes, r)
	}
	for n := range more {
		r := c.Routes[0]
		r.Prefix = "/more-" + string(rune('a'+n%26)) + "/" + string(rune('a'+n/26%26)) + "/"
		r.Name += r.Prefix
		c.Routes = append(c.Routes, r)
	}
	return c
}

// nextNumber draws the number of the next document; numbers grow in uneven
// steps.
func (o *operators) nextNumber() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.number += 1 + o.rng.Uint64N(3)
	return o.number
}

// pick draws a control instance, and whether the answer is lost on its way.
func (o *operators) pick() (to *instance, lost bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.d.controls[o.rng.IntN(len(o.d.controls))], o.rng.Float64() < o.losing
}

func (o *operators) lose(share float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.losing = share
}

// insist makes a call at one control instance after the other until it gets a
// good answer or the operators stop. It returns the status that ended it, 0 for
// none.
func (o *operators) insist(call func(ctx context.Context, to *instance) (int, error)) int {
	for {
		to, lost := o.pick()
		ctx, cancel := context.WithTimeout(context.Background(), operatorWait)
		status, err := call(ctx, to)
		cancel()
		if err == nil && status < http.StatusInternalServerError && !lost {
			return status
		}
		select {
		case <-o.stop:
			return 0
		case <-time.After(operatorPause):
		}
	}
}

// configure sends a new configuration until it is acknowledged.
func (o *operators) configure(more int) {
	number := o.nextNumber()
	d := &document{number: number, sent: time.Now(), content: platformtest.EncodeConfiguration(o.configuration(number, more))}
	o.d.ledger.sendingDocument(d)
	status := o.insist(func(ctx context.Context, to *instance) (int, error) {
		return o.call.PutConfiguration(ctx, to.at(portOperators), d.content)
	})
	switch status {
	case http.StatusOK:
		o.d.ledger.ackedDocument(d)
	case 0: // the soak ends
	default:
		o.d.ledger.breach("valid configurations are taken", "", "number %d was answered %d", number, status)
	}
}

// configureWrongly sends a configuration that must be refused.
func (o *operators) configureWrongly() {
	number := o.nextNumber()
	c := o.configuration(number, 0)
	c.Routes[0].TrafficSplit[0].Service = "nobody"
	d := &document{number: number, sent: time.Now(), content: platformtest.EncodeConfiguration(c), invalid: true}
	o.d.ledger.sendingDocument(d)
	status := o.insist(func(ctx context.Context, to *instance) (int, error) {
		return o.call.PutConfiguration(ctx, to.at(portOperators), d.content)
	})
	if status == http.StatusOK {
		o.d.ledger.breach("nothing invalid is in force", "", "number %d was acknowledged", number)
	}
}

// nameWeights names new weights until that is acknowledged.
func (o *operators) nameWeights() {
	version := o.d.ledger.nameWeights()
	status := o.insist(func(ctx context.Context, to *instance) (int, error) {
		return o.call.PutWeights(ctx, to.at(portOperators), model, version)
	})
	if status == http.StatusOK {
		o.d.ledger.ackedWeights(version)
	}
}

// readBack reads the newest configuration again and again.
func (o *operators) readBack() {
	o.running.Go(func() {
		for {
			select {
			case <-o.stop:
				return
			case <-time.After(readPeriod):
			}
			o.read()
		}
	})
}

// read reads once and returns the number, zero for no good answer.
func (o *operators) read() uint64 {
	from, _ := o.pick()
	acked := o.d.ledger.newestAcked()
	ctx, cancel := context.WithTimeout(context.Background(), operatorWait)
	defer cancel()
	status, number, content, err := o.call.GetConfiguration(ctx, from.at(portOperators))
	if err != nil || status != http.StatusOK {
		return 0
	}
	o.d.ledger.read(from.Name, acked, number, content)
	return number
}

func (o *operators) end() {
	close(o.stop)
	o.running.Wait()
}
