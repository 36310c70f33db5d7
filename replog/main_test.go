package replog

import (
	"flag"
	"os"
	"testing"
)

var (
	long    = flag.Int("replog.long", 0, "number of runs of the randomised test, from a random seed")
	rewrite = flag.Bool("replog.rewrite", false, "update the expected output of the scripts in testdata")
)

// TestMain gives rapid a fixed seed unless a long run is requested, so that
// every run of the same code has the same result.
func TestMain(m *testing.M) {
	set("rapid.seed", "1")
	set("rapid.checks", "120")
	flag.Parse()
	if *long > 0 {
		set("rapid.seed", "0")
		set("rapid.checks", flag.Lookup("replog.long").Value.String())
	}
	os.Exit(m.Run())
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
