package schedule

import (
	"github.com/carawaystile/carawaystile/dialect"
	"github.com/carawaystile/carawaystile/rpc"
)

// NotifyLoad notifies the scheduler of the load that the endpoint named in its response, if it
// names its slowdown. The message is sent at once and apart from the others, since it has no
// age: a slowdown is worth nothing after 0.6 s, and a stream's first event may come later than
// that after the response header.
func (a *Assignment) NotifyLoad(load dialect.EndpointLoad) {
	if load.SlowdownPercent > 0 {
		a.notify(&rpc.AttemptProgress{Load: encodeLoad(load)})
	}
}

func encodeLoad(l dialect.EndpointLoad) *rpc.EndpointLoadAnswer {
	return &rpc.EndpointLoadAnswer{
		Running: uint32(l.Running), Waiting: uint32(l.Waiting), Slots: uint32(l.Slots), SlowdownPercent: uint32(l.SlowdownPercent),
	}
}
