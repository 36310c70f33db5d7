package dispatch

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// An endpoint's transfers run one after another on its link: a prompt of 13,000 tokens
// may hold it for 0.13 s, and what takes a millisecond to
// fetch waits behind it. Short prompts came late most often so: 3.3 % of those that
// fetched something, 0.4 % of those that did not, on a quiet day. Each instance counts
// the transfers that it brings about and tells the others how long a link is busy. Mean
// worth of five days with trouble 0.428 with it and 0.422 with a fixed time for each
// token and no queue, and long prompts late 18.1 and 19.2 % (three seeds a day).
//
// Counting the sending link too was worse (0.387 to 0.343): a store's link is faster
// than an engine's, took the blame for each engine's wait and was believed to be busy
// for seconds, so that prompts were read again.
const (
	// assumedTransfer is how long a link is busy with one token where nothing is
	// declared, in milliseconds; a tenth of what reading it takes.
	assumedTransfer = 0.0066
	// abroadTransfer is how many times longer a transfer between zones takes, as the
	// platform says.
	abroadTransfer = 2.0
)

// transferTime is how long a token is on the way from one endpoint to another, in
// milliseconds.
func (r *Request) transferTime(from, to *endpointRow) float64 {
	perToken := assumedTransfer
	if r.Service.TransferTime > 0 {
		perToken = milliseconds(r.Service.TransferTime)
	}
	if from.Zone != to.Zone {
		perToken *= abroadTransfer
	}
	return perToken
}

// linkBusy is for how long the endpoint's link is still busy.
func (r *endpointRow) linkBusy(now tables.Instant) time.Duration { return max(0, r.linkFree-now) }

// transfer counts a transfer on an endpoint's link.
func (d *Dispatcher) transfer(now tables.Instant, row *endpointRow, ms float64) {
	row.linkFree = max(row.linkFree, now) + time.Duration(ms*float64(time.Millisecond))
	d.changed(row)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
