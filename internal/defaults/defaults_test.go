package defaults

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestSetFillsOnlyZeroFields(t *testing.T) {
	var unset int
	set := 3
	Set(&unset, 7)
	Set(&set, 7)
	assert.Equal(t, unset, 7)
	assert.Equal(t, set, 3)
}
