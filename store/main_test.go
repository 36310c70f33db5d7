package store

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives rapid a fixed seed unless one is asked for, so that every run
// of the same code has the same verdict.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
