package standin

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/tables"
)

// Behaviour of stand-ins that are started for declarations.
const (
	declaredEventDelay = 100 * time.Millisecond
	declaredLoadLag    = 200 * time.Millisecond
	declaredCallTime   = 5 * time.Millisecond
	declaredDowntime   = 2 * time.Second
)

// Declared is one stand-in for each declared endpoint, at its address.
type Declared struct {
	engines        []*Engine
	services       []*Service
	engineRecords  *Records
	serviceRecords *ServiceRecords
}

// Summary is what the stand-ins have seen together.
type Summary struct {
	Engines Totals `json:"engines"`
	// Calls counts calls of plain services that ran; DuplicateKeys holds the
	// idempotency keys that ran more than once.
	Calls         int            `json:"calls"`
	DuplicateKeys map[string]int `json:"duplicate_keys"`
}

// StartDeclared starts a stand-in for each endpoint of the configuration, with
// its declared speed and size. Every address must be of the loopback range.
func StartDeclared(c *tables.Configuration, speedup float64) (*Declared, error) {
	d := &Declared{engineRecords: NewRecords(), serviceRecords: &ServiceRecords{}}
	weights := make(map[tables.ModelName]tables.WeightsVersion)
	for _, m := range c.Models {
		weights[m.Name] = m.Weights
	}
	for i := range c.Endpoints {
		if err := d.start(&c.Endpoints[i], weights, speedup); err != nil {
			d.Close()
			return nil, trace.Wrap(err)
		}
	}
	return d, nil
}

func (d *Declared) start(e *tables.Endpoint, weights map[tables.ModelName]tables.WeightsVersion, speedup float64) error {
	if e.Kind == tables.PlainService {
		service, err := StartService(ServiceOptions{
			ID: e.ID, Address: e.Address, CallTime: declaredCallTime, Speedup: speedup,
			Slots: e.Slots, Downtime: declaredDowntime, Records: d.serviceRecords,
		})
		if err != nil {
			return err
		}
		d.services = append(d.services, service)
		return nil
	}
	serves := make(map[tables.ModelName]tables.WeightsVersion)
	for _, m := range e.Models {
		serves[m] = weights[m]
	}
	engine, err := StartEngine(EngineOptions{
		ID: e.ID, Address: e.Address, Weights: serves, Slots: e.Slots, CacheBlocks: e.CacheBlocks,
		PrefillRate: e.PrefillRate, DecodeRate: e.DecodeRate, EventDelay: declaredEventDelay,
		LoadLag: declaredLoadLag, ChecksFence: e.ChecksFence, Downtime: declaredDowntime,
		Speedup: speedup, Records: d.engineRecords,
	})
	if err != nil {
		return err
	}
	d.engines = append(d.engines, engine)
	return nil
}

// Summary returns what the stand-ins have seen so far.
func (d *Declared) Summary() Summary {
	return Summary{
		Engines:       d.engineRecords.Totals(),
		Calls:         len(d.serviceRecords.Executions()),
		DuplicateKeys: d.serviceRecords.DuplicateKeys(),
	}
}

// Close ends all stand-ins.
func (d *Declared) Close() {
	for _, e := range d.engines {
		e.Close()
	}
	for _, s := range d.services {
		s.Close()
	}
}
