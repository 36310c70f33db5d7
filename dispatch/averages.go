package dispatch

const (
	// defaultMemoryTokens and assumedPrefill are the memory and the prompt tokens to read of
	// a request before any was placed, and assumedRate the speed of an engine before
	// any was measured, in tokens a millisecond: a mid-sized model's.
	defaultMemoryTokens  = 1500
	defaultPrefillTokens = 1500
	defaultPrefillRate   = 30.0
	// averageWeight is the weight of one request or measurement. Some hundred make an
	// average, a few seconds' worth.
	averageWeight = 0.02
)

// serviceAverages are what this instance has seen of a service's requests and engines. They
// stand in for what is not known: of other instances' requests, which an engine counts
// and does not describe, and of an engine that is new.
type serviceAverages struct {
	// memoryTokens is the memory of a request, prefillTokens the prompt memoryTokens it has to read.
	memoryTokens, prefillTokens float64
	// prefillTime is the time to read a token, in milliseconds.
	prefillTime float64
}

func newAverages() *serviceAverages {
	return &serviceAverages{memoryTokens: defaultMemoryTokens, prefillTokens: defaultPrefillTokens, prefillTime: 1 / defaultPrefillRate}
}

// addRequest takes a request in.
func (a *serviceAverages) addRequest(tokens int, prefill float64) {
	a.memoryTokens += averageWeight * (float64(tokens) - a.memoryTokens)
	a.prefillTokens += averageWeight * (prefill - a.prefillTokens)
}

// addPrefillTime takes the speed of an engine in.
func (a *serviceAverages) addPrefillTime(perToken float64) {
	a.prefillTime += averageWeight * (perToken - a.prefillTime)
}

// prefillRate is the speed of an engine of which nothing was measured yet.
func (a *serviceAverages) prefillRate() float64 { return 1 / a.prefillTime }

// averagesOf are a service's.
func (d *Dispatcher) averagesOf(service string) *serviceAverages {
	known := d.averages[service]
	if known == nil {
		known = newAverages()
		d.averages[service] = known
	}
	return known
}
