package logs

import (
	"encoding/json"
	"strings"
	"testing"
	"unicode/utf8"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"
)

// Guards against a panic of a handler whose stack is cut short.
func TestStackOfPanicIsLoggedWhole(t *testing.T) {
	var out strings.Builder
	w := NewWriter(&out)
	stack := "http: panic serving 127.0.0.1:1: text\n" + strings.Repeat("a", 4<<10)
	ServerErrors(New(w, zapcore.InfoLevel)).Print(stack)
	w.Close()
	var line struct{ Error string }
	assert.NilError(t, json.Unmarshal([]byte(out.String()), &line))
	assert.Equal(t, line.Error, stack)
}

// longError is an error with a text of 20 KB.
type longError struct{}

func (longError) Error() string { return strings.Repeat("é", 10<<10) }

// Guards against logs whose size clients choose by long IDs, paths or keys, and against stacks that are cut short.
func TestLongFieldsAreTruncated(t *testing.T) {
	var out strings.Builder
	w := NewWriter(&out)
	log := New(w, zapcore.InfoLevel)
	log.Info("line", zap.String("short", strings.Repeat("a", maxFieldBytes)), zap.String("long", strings.Repeat("é", maxFieldBytes)), zap.Error(longError{}))
	log.Error("line", zap.String("stack", strings.Repeat("a", maxErrorFieldBytes)), zap.Error(longError{}))
	w.Close()
	for i, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		fields := map[string]any{}
		assert.NilError(t, json.Unmarshal([]byte(line), &fields))
		limit := []int{maxFieldBytes, maxErrorFieldBytes}[i]
		for name, value := range fields {
			text, ok := value.(string)
			assert.Check(t, !ok || len(text) <= limit && utf8.ValidString(text), "%s: %d bytes", name, len(text))
		}
		assert.Assert(t, strings.HasSuffix(fields["error"].(string), "é..."))
		if i == 0 {
			assert.Equal(t, len(fields["short"].(string)), maxFieldBytes)
		} else {
			assert.Equal(t, len(fields["stack"].(string)), maxErrorFieldBytes)
		}
	}
}
