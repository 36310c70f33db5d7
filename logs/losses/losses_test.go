package losses

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const log = `
{"ts":"2026-01-02T10:00:00Z","msg":"x","instance":"e","entry":true,"event":6000}
{"ts":"2026-01-02T10:00:01Z","msg":"x","instance":"e","route":"a","took":"100ms","target":"400ms","first":"50ms","status":200,"event":1010}
{"ts":"2026-01-02T10:00:02Z","msg":"x","instance":"e","route":"a","took":"900ms","target":"400ms","first":"800ms","sends":2,"status":200,"event":1010}
{"ts":"2026-01-02T10:00:10Z","msg":"x","instance":"e","model":"m","weights":2,"event":6012}
{"ts":"2026-01-02T10:00:12Z","msg":"x","instance":"e","route":"b","took":"2s","target":"800ms","first":"1.9s","sends":1,"expected":"1.5s","to_read":9000,"prompt":10000,"status":200,"event":1010}
{"ts":"2026-01-02T10:00:12Z","msg":"x","instance":"e","route":"a","took":"1ms","outcome":"not_run","status":503,"code":4291,"event":1005}
{"ts":"2026-01-02T10:00:30Z","msg":"x","instance":"e","endpoint":"i","event":1015}
{"ts":"2026-01-02T10:00:31Z","msg":"x","instance":"e","route":"a","took":"500ms","target":"400ms","first":"480ms","sends":1,"expected":"30ms","source":"i-2","status":200,"event":1010}
{"ts":"2026-01-02T10:01:31Z","msg":"x","instance":"e","route":"a","took":"3s","event":1013}
{"ts":"2026-01-02T10:01:32Z","msg":"x","instance":"e","took":"1ms","outcome":"not_run","status":404,"code":4040,"event":1005}
{"ts":"2026-01-02T10:01:33Z","msg":"x","instance":"e","route":"a","took":"1ms","outcome":"not_run","status":401,"code":4010,"event":1005}
`

// Guards against losses that are attributed to a wrong reason or moment, on two routes with
// late and failed requests.
func TestLossesByReasonAndMoment(t *testing.T) {
	r := NewReader()
	assert.NilError(t, r.Read("edge.log", strings.NewReader(log)))
	table := r.Table()
	assert.DeepEqual(t, table.Routes, []Route{{Name: "a", Asked: 5, InTime: 1}, {Name: "b", Asked: 1}})
	assert.DeepEqual(t, table.Losses, []LossCount{
		{Route: "a", Reason: CallerLeft, Moment: Ordinary, Count: 1},
		{Route: "a", Reason: Retried, Moment: InstanceStarted, Count: 1},
		{Route: "a", Reason: SlowCacheFetch, Moment: EndpointLost, Count: 1},
		{Route: "a", Reason: Refused, Moment: WeightsRollout, Count: 1},
		{Route: "b", Reason: LongPrefill, Moment: WeightsRollout, Count: 1},
	})
}

// Every loss is counted once: for all routes together, requests in time plus losses equal
// the requests received.
func TestLossesAddUpToRequests(t *testing.T) {
	r := NewReader()
	assert.NilError(t, r.Read("edge.log", strings.NewReader(log+log)))
	table := r.Table()
	sum := 0
	for _, route := range table.Routes {
		sum += route.Asked - route.InTime
	}
	for _, row := range table.Losses {
		sum -= row.Count
	}
	assert.Equal(t, sum, 0)
}
