//go:build review

package main

import (
	"flag"
	"fmt"
	"os"
)

// A case returns whether the rule was broken. An error means that it could not run.
var cases = map[string]func(l *lab, trouble bool) (broken bool, err error){}

func main() {
	out := flag.String("out", ".", "folder of record.txt")
	daemon := flag.String("daemon", "target/carawaystiled", "the daemon")
	flag.Parse()
	run := cases[flag.Arg(0)]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	l, err := newLab(*out, *daemon)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := run(l, os.Getenv("TROUBLE") != "0")
	l.close()
	switch {
	case err != nil:
		l.note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	case broken:
		l.note("broken")
		fmt.Println("broken")
		os.Exit(1)
	}
	l.note("held")
	fmt.Println("held")
}
