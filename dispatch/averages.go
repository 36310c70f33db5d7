package dispatch

const (
	// assumedTokens and assumedPrefill are the memory and the prompt tokens to read of
	// a request before any was placed, and assumedRate the speed of an engine before
	// any was measured, in tokens a millisecond: a mid-sized model's.
	assumedTokens  = 1500
	assumedPrefill = 1500
	assumedRate    = 30.0
	// averagePart is the weight of one request or measurement. Some hundred make an
	// average, a few seconds' worth.
	averagePart = 0.02
)

// averages are what this instance has seen of a service's requests and engines. They
// stand in for what is not known: of other instances' requests, which an engine counts
// and does not describe, and of an engine that is new.
type averages struct {
	// tokens is the memory of a request, prefill the prompt tokens it has to read.
	tokens, prefill float64
	// perToken is the time to read a token, in milliseconds.
	perToken float64
}

func newAverages() *averages {
	return &averages{tokens: assumedTokens, prefill: assumedPrefill, perToken: 1 / assumedRate}
}

// placed takes a request in.
func (a *averages) placed(tokens int, prefill float64) {
	a.tokens += averagePart * (float64(tokens) - a.tokens)
	a.prefill += averagePart * (prefill - a.prefill)
}

// measured takes the speed of an engine in.
func (a *averages) measured(perToken float64) {
	a.perToken += averagePart * (perToken - a.perToken)
}

// rate is the speed of an engine of which nothing was measured yet.
func (a *averages) rate() float64 { return 1 / a.perToken }

// averagesOf are a service's.
func (d *Dispatcher) averagesOf(service string) *averages {
	known := d.averages[service]
	if known == nil {
		known = newAverages()
		d.averages[service] = known
	}
	return known
}
