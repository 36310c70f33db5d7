package orders

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against engines that are counted as unreachable since reads of silent ones take the whole step.
func TestSilentEnginesDoNotKeepOthersFromBeingRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulation(t, 1, maxConcurrentReads+8)
		for _, endpoint := range f.configuration.Endpoints[:maxConcurrentReads+4] {
			f.engines[endpoint.Address].hangs = true
		}
		f.advance(time.Minute)
		for _, endpoint := range f.configuration.Endpoints[maxConcurrentReads+4:] {
			assert.Equal(t, string(f.engines[endpoint.Address].weights), "w1", "%s", endpoint.ID)
		}
	})
}
