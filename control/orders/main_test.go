package orders

import (
	"testing"

	"github.com/carawaystile/carawaystile/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }
