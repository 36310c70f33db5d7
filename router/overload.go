package router

import (
	"math"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// pressureFor is how long after the last sign of overload work that can be
	// held gives way.
	pressureFor = 3 * time.Second
	// pressureWaiting is how many waiting urgent requests are such a sign.
	pressureWaiting = 8
	// heldPart is the part of all work that held work keeps under pressure, so
	// that it cannot starve.
	heldPart = 0.05
	// workWindow is the time constant over which work is averaged.
	workWindow = 10 * time.Second
)

// pressure tells when urgent work cannot all be started, and keeps account of
// what held work gets meanwhile. Without it an overload would be shared by all
// classes, and urgent requests would be refused while others run.
type pressure struct {
	until tables.Instant
	at    tables.Instant
	all   float64
	held  float64
}

// sign notes that urgent work waits in numbers or was refused.
func (p *pressure) sign(now tables.Instant) { p.until = now + pressureFor }

func (p *pressure) on(now tables.Instant) bool { return now < p.until }

// work counts dispatched work in tokens.
func (p *pressure) work(now tables.Instant, tokens float64, held bool) {
	keep := math.Exp(-float64(now-p.at) / float64(workWindow))
	p.at = now
	p.all = p.all*keep + tokens
	p.held *= keep
	if held {
		p.held += tokens
	}
}

// room says whether held work may start under pressure.
func (p *pressure) room() bool { return p.held < heldPart*p.all }
