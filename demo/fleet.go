package demo

import (
	_ "embed"
	"fmt"
	"strings"
	"time"

	"github.com/carawaystile/carawaystile/internal/partition"
	"github.com/carawaystile/carawaystile/settings"
	"github.com/carawaystile/carawaystile/standin"
	"github.com/carawaystile/carawaystile/tables"
)

//go:embed declarations.yaml
var declarations []byte

const (
	// speedup is how much faster than declared the stand-ins run, so that a
	// run ends in seconds.
	speedup = 10
	// Each engine's cache holds engineCache pieces, and drops what was not
	// used for cacheKeep.
	engineCache = 24
	cacheKeep   = 40 * time.Second
	callTime    = 100 * time.Millisecond
	downtime    = 3 * time.Second
	// The stand-ins tell of their caches and load this late, and lose one
	// cache event in so many.
	eventDelay     = 500 * time.Millisecond
	eventLoss      = 50
	loadLag        = time.Second
	badEventDelay  = 5 * time.Second
	badEventLoss   = 3
	badLoadLag     = 5 * time.Second
	serviceSlots   = 64
	answerLossRate = 40
)

var zones = []tables.Zone{"zone-a", "zone-b", "zone-c"}

// engineClass is one generation of engines.
type engineClass struct {
	slots    int
	prefill  float64
	decode   float64
	stepTime time.Duration
}

// engineClasses are bought over years: each zone has one engine of each.
func engineClasses() []engineClass {
	return []engineClass{
		{slots: 16, prefill: 24_000, decode: 1_600, stepTime: 10 * time.Millisecond},
		{slots: 12, prefill: 14_000, decode: 900, stepTime: 14 * time.Millisecond},
		{slots: 8, prefill: 8_000, decode: 500, stepTime: 20 * time.Millisecond},
	}
}

// perStream is how many tokens a second each of a full batch gets.
func (c engineClass) perStream() float64 {
	return 1 / (c.stepTime.Seconds() + float64(c.slots)/c.decode)
}

// fleet is the stand-ins of a run.
type fleet struct {
	engines  []*standin.Engine
	services []*standin.Service
	records  *standin.Records
	calls    *standin.ServiceRecords
	yaml     strings.Builder
}

func newFleet(o Options, n *partition.Network) (*fleet, error) {
	f := &fleet{records: standin.NewRecords(), calls: &standin.ServiceRecords{}}
	f.yaml.WriteString("endpoints:\n")
	for _, zone := range zones {
		for number, class := range engineClasses() {
			if err := f.addEngine(o, n, zone, number, class); err != nil {
				f.close()
				return nil, err
			}
		}
		for _, service := range []tables.ServiceName{"publish", "desk"} {
			if err := f.addService(o, n, zone, service); err != nil {
				f.close()
				return nil, err
			}
		}
	}
	return f, nil
}

func (f *fleet) addEngine(o Options, n *partition.Network, zone tables.Zone, number int, class engineClass) error {
	options := standin.EngineOptions{
		ID:          tables.EndpointID(fmt.Sprintf("engine-%s-%d", zone, number+1)),
		Weights:     map[tables.ModelName]tables.WeightsVersion{"draft-12b": "w1", "rights-34b": "w1"},
		Slots:       class.slots,
		PrefillRate: class.prefill,
		DecodeRate:  class.decode,
		StepTime:    class.stepTime,
		CacheBlocks: engineCache,
		CacheKeep:   cacheKeep,
		EventDelay:  eventDelay,
		EventLoss:   eventLoss,
		LoadLag:     loadLag,
		Downtime:    downtime,
		ChecksFence: number != 2,
		Speedup:     speedup,
		Owner:       owner,
		Records:     f.records,
	}
	if o.Fault == FaultEvents {
		options.EventDelay, options.EventLoss, options.LoadLag = badEventDelay, badEventLoss, badLoadLag
	}
	e, err := standin.StartEngine(options)
	if err != nil {
		return err
	}
	f.engines = append(f.engines, e)
	n.SetZone(e.Address().String(), zone)
	fmt.Fprintf(&f.yaml, "  - {name: %s, zone: %s, address: '%s', models: [draft-12b, rights-34b], checks_fencing: %t, slots: %d, "+
		"cache_pieces: %d, prefill_tokens_per_second: %.0f, decode_tokens_per_second: %.0f}\n",
		options.ID, zone, e.Address(), options.ChecksFence, class.slots, engineCache,
		class.prefill*speedup, class.perStream()*speedup)
	return nil
}

func (f *fleet) addService(o Options, n *partition.Network, zone tables.Zone, name tables.ServiceName) error {
	options := standin.ServiceOptions{
		ID:       tables.EndpointID(fmt.Sprintf("%s-%s", name, zone)),
		CallTime: callTime,
		Speedup:  speedup,
		Slots:    serviceSlots,
		Records:  f.calls,
	}
	if o.Fault == FaultCrash {
		options.AnswerLoss = answerLossRate
	}
	s, err := standin.StartService(options)
	if err != nil {
		return err
	}
	f.services = append(f.services, s)
	n.SetZone(s.Address().String(), zone)
	fmt.Fprintf(&f.yaml, "  - {name: %s, zone: %s, address: '%s', service: %s, slots: %d}\n",
		options.ID, zone, s.Address(), name, serviceSlots)
	return nil
}

// configuration reads the declarations as an operator's files are read.
func (f *fleet) configuration() (*tables.Configuration, error) {
	return settings.ParseDeclarations(map[string][]byte{
		"declarations.yaml": declarations,
		"endpoints.yaml":    []byte(f.yaml.String()),
	})
}

func (f *fleet) close() {
	for _, e := range f.engines {
		e.Close()
	}
	for _, s := range f.services {
		s.Close()
	}
}
