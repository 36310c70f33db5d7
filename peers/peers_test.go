package peers

import (
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/systems/quarantine"
)

// Guards against a field of a suspect that is not encoded: other instances then judge
// the crash with less information. A missing field once made a request that crashes
// endpoints late look harmless to them.
func TestSuspectEncodingKeepsAllFields(t *testing.T) {
	s := quarantine.Suspect{
		Fingerprint: 7,
		Incarnation: quarantine.Incarnation{Endpoint: "e", Boot: "b"},
		UpBefore:    time.Hour,
		CrashPoint:  quarantine.CrashPoint{Likely: true, AttemptTokens: 3, AnswerTokens: 9, SinceFirstToken: time.Second},
		Convicted:   true,
		Part:        8,
		Proven:      true,
		Cleared:     true,
		Convictions: 2,
		Released:    true,
		Age:         time.Minute,
	}
	for _, part := range []any{s, s.Incarnation, s.CrashPoint} {
		fields := reflect.ValueOf(part)
		for i := range fields.NumField() {
			assert.Assert(t, !fields.Field(i).IsZero(), "field %s of the test's suspect is not set", fields.Type().Field(i).Name)
		}
	}
	assert.Equal(t, decodeSuspect(encodeSuspect(s)), s)
}

// Guards against a cleared request that instances of an earlier version take for a suspect.
func TestClearedRequestHasNoFingerprintOfSuspect(t *testing.T) {
	s := quarantine.Suspect{Fingerprint: 7, Cleared: true, Age: time.Minute}
	message := encodeSuspect(s)
	assert.Equal(t, decodeSuspect(message), s)
	assert.Equal(t, message.GetFingerprint(), uint64(0))
	assert.Equal(t, message.GetCleared(), false)
}
