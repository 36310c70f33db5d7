package dispatch

const (
	// The defaults hold for a mid-sized model: defaultMemoryTokens is the memory of a
	// request and defaultPrefillTokens its uncached prompt tokens, until a request was
	// placed; defaultPrefillRate is the prefill speed of an engine in tokens a
	// millisecond, until one was measured.
	defaultMemoryTokens  = 1500
	defaultPrefillTokens = 1500
	defaultPrefillRate   = 30.0
	// averageWeight is the smoothing factor, the weight of one sample. An average covers
	// roughly the last hundred samples, a few seconds' worth.
	averageWeight = 0.02
)

// serviceAverages are exponentially weighted moving averages (EWMA) of a service's
// requests and engines as seen by this instance. They estimate what is not known: the
// size of other instances' requests, which an engine counts without describing them, and
// the speed of a new engine.
type serviceAverages struct {
	// memoryTokens is the memory of a request, prefillTokens the prompt tokens that it
	// has to compute.
	memoryTokens, prefillTokens float64
	// prefillTime is the prefill time of one token, in milliseconds.
	prefillTime float64
	// streams are the targets of the service's streams, and streamTime the time of a stream from
	// its first event to its end for each output token that it may have, in milliseconds.
	streams    streamTargets
	streamTime float64
	// unshared is the decaying sum of the tokens of this instance's requests that are not in shared
	// parts. It is kept only for the cost of evictions.
	unshared decayedCount
}

// newAverages returns averages that start with the defaults.
func newAverages() *serviceAverages {
	return &serviceAverages{memoryTokens: defaultMemoryTokens, prefillTokens: defaultPrefillTokens, prefillTime: 1 / defaultPrefillRate, streamTime: defaultStreamTime}
}

// addRequest adds the sample of a placed request.
func (a *serviceAverages) addRequest(tokens int, prefill float64) {
	a.memoryTokens += averageWeight * (float64(tokens) - a.memoryTokens)
	a.prefillTokens += averageWeight * (prefill - a.prefillTokens)
}

// addPrefillTime adds a measured prefill time per token, in milliseconds.
func (a *serviceAverages) addPrefillTime(perToken float64) {
	a.prefillTime += averageWeight * (perToken - a.prefillTime)
}

// prefillRate estimates the prefill speed, in tokens a millisecond, of an engine without
// measurements.
func (a *serviceAverages) prefillRate() float64 { return 1 / a.prefillTime }

// averagesOf returns the averages of a service, creating them on first use.
func (d *Dispatcher) averagesOf(service string) *serviceAverages {
	known := d.averages[service]
	if known == nil {
		known = newAverages()
		d.averages[service] = known
	}
	return known
}
