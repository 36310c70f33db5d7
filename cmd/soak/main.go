// Command soak is a soak test with fault injection: it runs forwarding deployments
// under random faults. Package soak implements it.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/carawaystile/carawaystile/soak"
)

func main() { os.Exit(run()) }

// run runs the seeds one after the other. It returns 0 if no guarantee was
// violated, 1 if one was, and 2 for wrong usage or a run that failed to execute.
func run() int {
	daemon := flag.String("daemon", "target/carawaystiled", "binary of an instance")
	seeds := flag.String("seeds", "1-5", "seeds to play, as FROM-TO or one number")
	faultDuration := flag.Duration("for", 30*time.Second, "how long faults come in each run")
	controlCount := flag.Int("controls", 3, "control instances")
	entryCount := flag.Int("entries", 6, "entry instances")
	folder := flag.String("folder", filepath.Join(os.TempDir(), "soak"), "folder for settings, state and logs")
	faults := flag.String("faults", "", "comma-separated kinds of faults; all if empty")
	inForce := flag.Bool("in-force", false, "check how long changes take to be in force; the machine should be quiet")
	limitUse := flag.Bool("limit-use", false, "limit the rate of one organisation, and check the limit")
	capacity := flag.String("capacity", "auto", "capacity decisions of instances: on, off, or auto for a quarter of the seeds")
	powerLoss := flag.Bool("power-loss", true, "end each run with a loss of power on all machines and of as many disks as tolerated")
	series := flag.Bool("series", false, "change the configuration in series beside reloads, drains and silent endpoints; no other faults")
	verbose := flag.Bool("v", false, "print each fault")
	flag.Parse()
	first, last, ok := parseSeedRange(*seeds)
	if !ok || flag.NArg() > 0 || !slices.Contains([]string{"auto", "on", "off"}, *capacity) {
		flag.Usage()
		return 2
	}
	code := 0
	for seed := first; seed <= last; seed++ {
		o := soak.Options{
			Daemon: *daemon, Folder: filepath.Join(*folder, strconv.FormatUint(seed, 10)), Seed: seed, For: *faultDuration,
			Controls: *controlCount, Entries: *entryCount, InForce: *inForce, LimitUse: *limitUse, PowerLoss: *powerLoss,
			Capacity: *capacity == "on" || *capacity == "auto" && *faults == "" && !*series && soak.DrawsCapacity(seed),
		}
		if *faults != "" {
			o.Faults = strings.Split(*faults, ",")
		}
		if *series {
			o.Plan = soak.SeriesPlan(seed, *faultDuration)
		}
		if *verbose {
			o.Progress = func(line string) { fmt.Println(line) }
		}
		outcome, err := soak.Run(o)
		if err != nil {
			fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
			return 2
		}
		fmt.Printf("seed %d, capacity %t: %s\n%s", seed, o.Capacity, outcome, outcome.Report(o.Folder))
		if len(outcome.Breaches) > 0 {
			code = 1
		} else if err := os.RemoveAll(o.Folder); err != nil {
			fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
		}
	}
	return code
}

// parseSeedRange parses "FROM-TO" or a single number.
func parseSeedRange(text string) (first, last uint64, ok bool) {
	from, to, found := strings.Cut(text, "-")
	if !found {
		to = from
	}
	first, err := strconv.ParseUint(from, 10, 64)
	last, err2 := strconv.ParseUint(to, 10, 64)
	return first, last, err == nil && err2 == nil && first <= last
}
