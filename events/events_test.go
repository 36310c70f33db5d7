package events

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var rowPattern = regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \| (.+?) \| (.+?) \|$`)

// Guards against a page of events that differs from the code, since operators look up events
// there by number: an event may be missing, listed twice, or have another level or text.
func TestCatalogueMatchesDocument(t *testing.T) {
	text, err := os.ReadFile("../docs/EVENTS.md")
	assert.NilError(t, err)
	documented := make(map[string]string)
	for _, row := range rowPattern.FindAllStringSubmatch(string(text), -1) {
		_, twice := documented[row[1]]
		assert.Assert(t, !twice, "event %s is listed twice in docs/EVENTS.md", row[1])
		assert.Assert(t, strings.TrimSpace(row[4]) != "", "event %s has no instruction for operators", row[1])
		documented[row[1]] = row[2] + " " + row[3]
	}
	defined := make(map[string]bool)
	for _, e := range Catalogue() {
		number := fmt.Sprint(e.Number)
		assert.Assert(t, !defined[number], "event %s is defined twice", number)
		defined[number] = true
		assert.Equal(t, documented[number], e.Level.String()+" "+e.Text, "event %s in docs/EVENTS.md", number)
	}
	for number := range documented {
		assert.Assert(t, defined[number], "event %s of docs/EVENTS.md is not defined", number)
	}
}
