// Package hangup receives SIGHUP from the initialisation of the process on. The default action ends
// a process, and a reload may be requested of one that has just started. The package imports
// little, so that it is initialised before most others.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals receives SIGHUP. Requests that arrive before one is handled count as one.
var Signals = make(chan os.Signal, 1)

func init() { signal.Notify(Signals, syscall.SIGHUP) }
