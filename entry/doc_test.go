package entry

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestOperatorsPageListsEveryCode(t *testing.T) {
	page, err := os.ReadFile("../docs/operating/requests.md")
	assert.NilError(t, err)
	listed := 0
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| 4") || strings.HasPrefix(line, "| 5") {
			listed++
		}
	}
	assert.Equal(t, listed, len(errorResponses))
	for code := range errorResponses {
		assert.Assert(t, strings.Contains(string(page), fmt.Sprintf("| %d |", code)), "code %d", code)
	}
}
