// Package demo runs the system against stand-ins in one process: three
// availability zones, an entry instance in each, engines and plain services of
// differing speed, and the mixed load of a publisher and a rights desk. It
// checks every promise from the stand-ins' own records and from what callers
// received, never from the router's word.
package demo

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"go.uber.org/zap"
)

// Fault names what goes wrong during a run.
type Fault string

// The faults that can be chosen.
const (
	NoFault Fault = ""
	// FaultCrash crashes two engines under load, and sends a prompt that
	// crashes every engine that runs it, again and again.
	FaultCrash Fault = "crash"
	// FaultPartition cuts one availability zone off from the others.
	FaultPartition Fault = "partition"
	// FaultRestart drains and restarts every instance in turn.
	FaultRestart Fault = "restart"
	// FaultEvents makes engines lose and delay cache events and load reports.
	FaultEvents Fault = "events"
	// FaultOverload sends far more than the engines can carry.
	FaultOverload Fault = "overload"
)

// Faults lists the faults that can be chosen.
func Faults() []Fault {
	return []Fault{FaultCrash, FaultPartition, FaultRestart, FaultEvents, FaultOverload}
}

// Options choose a run.
type Options struct {
	// Seed chooses the load; the same seed gives the same requests.
	Seed uint64
	// Requests is how many requests are sent; zero means DefaultRequests.
	Requests int
	// Rate is how many are sent a second; zero means DefaultRate.
	Rate  float64
	Fault Fault
	// Progress takes one line now and then; nil means nobody.
	Progress io.Writer
	Log      *zap.Logger
}

// The defaults of Options.
const (
	DefaultRequests = 900
	DefaultRate     = 60
	// overloadFactor is how much faster FaultOverload sends, overloadSlowdown
	// how much slower its engines run.
	overloadFactor   = 8
	overloadSlowdown = 5
	// startTimeout bounds the forming of the control group.
	startTimeout = 20 * time.Second
	// settleTimeout bounds the wait for the engines to be idle at the end.
	settleTimeout = 5 * time.Second
	progressEvery = time.Second
)

// UnknownFault means that Options name a fault that does not exist.
type UnknownFault struct{ Fault Fault }

// Error lists the faults.
func (e *UnknownFault) Error() string {
	return fmt.Sprintf("there is no fault %q; there are %v", string(e.Fault), Faults())
}

// BrokenPromises means that the run is over and at least one promise did not
// hold. The report names them.
type BrokenPromises struct{ Promises []Promise }

// Error names the first.
func (e *BrokenPromises) Error() string {
	return fmt.Sprintf("%d promises broken, first: %s", len(e.Promises), e.Promises[0])
}

// Run runs the demo. When a promise was broken it returns the report together
// with *BrokenPromises.
func Run(ctx context.Context, o Options) (Report, error) {
	o, err := o.withDefaults()
	if err != nil {
		return Report{}, err
	}
	w, err := newWorld(ctx, o)
	if err != nil {
		return Report{}, err
	}
	defer w.close()
	began := time.Now()
	results := w.send(ctx, newLoad(o))
	settled := w.settle(ctx)
	report := w.report(results, time.Since(began))
	if !settled {
		report.broken("engines still run attempts that nobody waits for")
	}
	if ctx.Err() != nil {
		return report, ctx.Err()
	}
	if len(report.Broken) > 0 {
		return report, &BrokenPromises{Promises: report.Broken}
	}
	return report, nil
}

func (o Options) withDefaults() (Options, error) {
	if o.Fault != NoFault && !slices.Contains(Faults(), o.Fault) {
		return o, &UnknownFault{Fault: o.Fault}
	}
	if o.Requests <= 0 {
		o.Requests = DefaultRequests
	}
	if o.Rate <= 0 {
		o.Rate = DefaultRate
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	return o, nil
}
