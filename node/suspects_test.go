package node

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/systems/quarantine"
)

const convictedPart = quarantine.Part(0xfa17)

// awaitConvictions waits until all instances know or do not know of a conviction that is in force.
func (c *partitionCluster) awaitConvictions(inForce bool) {
	c.t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for _, n := range c.nodes {
		for {
			convictions := n.entry.Convictions()
			if (len(convictions) > 0 && convictions[0].ReleaseIn > 0) == inForce {
				break
			}
			assert.Assert(c.t, time.Now().Before(deadline), "%s: %v", n.options.Settings.Instance, convictions)
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// Guards against instances that never learn of a conviction whose report they have missed, and against a release that reaches one instance only.
func TestConvictionsAndReleasesReachAllInstances(t *testing.T) {
	c := newPartitionCluster(t, newManyEndpoints(t, unlimited))
	c.nodes[0].entry.MergeSuspects([]quarantine.Suspect{{Part: convictedPart, Convicted: true, Convictions: 1}})
	c.awaitConvictions(true)

	operators := http.NewServeMux()
	c.nodes[3].handleQuarantine(operators)
	server := httptest.NewServer(operators)
	defer server.Close()
	url := server.URL + QuarantinePath
	resp, err := http.Get(url)
	assert.NilError(t, err)
	defer resp.Body.Close()
	var listed []ConvictedPart
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&listed))
	assert.Equal(t, len(listed), 1)
	assert.Equal(t, listed[0].Part, "fa17")

	for part, status := range map[string]int{"zz": http.StatusBadRequest, "1": http.StatusNotFound, "fa17": http.StatusNoContent} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodDelete, url+"/"+part, nil)
		assert.NilError(t, err)
		resp, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		_ = resp.Body.Close()
		assert.Equal(t, resp.StatusCode, status, part)
	}
	c.awaitConvictions(false)
}

// Guards against an instance that starts and does not fetch the convictions that others know.
func TestStartedInstanceFetchesConvictions(t *testing.T) {
	c := newPartitionCluster(t, newManyEndpoints(t, unlimited))
	c.nodes[0].entry.MergeSuspects([]quarantine.Suspect{{Part: convictedPart, Convicted: true, Convictions: 1}})
	c.awaitConvictions(true)
	c.nodes[8].Stop()
	c.nodes[8] = c.start(c.entries[8], c.links[8])
	c.awaitConvictions(true)
}
