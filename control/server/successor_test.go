package server

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/replog"
)

// Guards against a leader that stops and hands over to a voter that has just fallen silent.
func TestLeadershipGoesToAVoterThatAnswersHeartbeats(t *testing.T) {
	const match, answers, silent = 9, defaultHeartbeatTicks, defaultElectionTicks - 1
	for name, followers := range map[string][2]*replog.Progress{
		"equal logs":             {{Match: match, TicksSinceResponse: silent}, {Match: match, TicksSinceResponse: answers}},
		"longer log, but silent": {{Match: match + 1, TicksSinceResponse: silent}, {Match: match, TicksSinceResponse: answers}},
		"longer log":             {{Match: match - 1, TicksSinceResponse: answers - 1}, {Match: match, TicksSinceResponse: answers}},
		"lost":                   {{Match: match + 1, TicksSinceResponse: defaultElectionTicks + 1}, {Match: match, TicksSinceResponse: silent}},
	} {
		for n, sound := range []replog.ReplicaID{3, 2} {
			status := replog.Status{ID: 1, Members: replog.Members{{Replica: 1}, {Replica: 2}, {Replica: 3}}, Progress: map[replog.ReplicaID]replog.Progress{
				1: {Match: match + 2}, 2: *followers[n], 3: *followers[1-n],
			}}
			assert.Equal(t, chooseSuccessor(status, defaultElectionTicks), sound, name)
		}
	}
}
