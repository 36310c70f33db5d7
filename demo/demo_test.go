package demo

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Every promise must hold under each fault, as the stand-ins' own records and
// the callers' answers tell. The runs take turns: a run whose instances starve
// beside five others refuses requests that it would serve, and the promise that
// all are served when nothing fails says nothing then.
func TestPromisesHold(t *testing.T) {
	for _, fault := range append(Faults(), NoFault) {
		t.Run("fault="+string(fault), func(t *testing.T) {
			report, err := Run(t.Context(), Options{Seed: 1, Requests: 150, Fault: fault})
			var table strings.Builder
			report.WriteTable(&table)
			t.Log("\n" + table.String())
			assert.NilError(t, err)
			assert.Equal(t, report.Requests, 150)
			assert.Assert(t, report.CompleteStreams > 0)
		})
	}
}

func TestUnknownFaultIsRefused(t *testing.T) {
	_, err := Run(t.Context(), Options{Fault: "flood"})
	var unknown *UnknownFault
	assert.Assert(t, errors.As(err, &unknown))
}
