package state

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaystile/carawaystile/rpc"
)

// leases holds who may give orders to endpoints, and which weight loads may be
// running.
type leases struct {
	rows map[string]*lease
	// loads are by endpoint. They outlive the lease under which they started:
	// the weight store is as busy with them under the next holder.
	loads map[string]*rpc.Load
}

type lease struct {
	holder  owner
	fence   uint64
	expires time.Duration
	// announced are the newest orders that may have been given to each endpoint
	// under this lease and those before it.
	announced map[string]*rpc.AnnouncedOrder
}

func newLeases() leases {
	return leases{rows: map[string]*lease{}, loads: map[string]*rpc.Load{}}
}

// acquire grants a lease that is free or expired, with a new fence, and renews
// it for its holder under the old one.
//
// The holder counts its time from before it asked, by its own clock and less a
// margin for drift. Log time counts the full duration from here, and no faster
// than real time. So the holder has stopped before anyone else is granted it.
func (l *leases) acquire(index uint64, now time.Duration, request *rpc.AcquireLease) *rpc.Result {
	duration := time.Duration(request.GetDurationNanos())
	if duration < minLease || duration > maxLease || len(request.GetName()) > maxNameBytes {
		return refused(rpc.RefusalReason_REFUSED_MALFORMED)
	}
	asker := owner{request.GetHolder().GetInstance(), request.GetHolder().GetBoot()}
	row := l.rows[request.GetName()]
	if row != nil && now < row.expires && row.holder != asker {
		return l.answer(now, row, false, row.expires-now)
	}
	if row == nil || now >= row.expires {
		next := &lease{holder: asker, fence: index, announced: map[string]*rpc.AnnouncedOrder{}}
		if row != nil {
			next.announced = row.announced
		}
		row = next
		l.rows[request.GetName()] = row
	}
	row.expires = now + duration
	row.forget(now)
	return l.answer(now, row, true, 0)
}

// forget drops announced orders that are older than any lease can be.
func (row *lease) forget(now time.Duration) {
	maps.DeleteFunc(row.announced, func(_ string, order *rpc.AnnouncedOrder) bool {
		return now-time.Duration(order.GetAnnounced()) > maxLease
	})
}

// announce notes that orders may leave for endpoints. A holder that has lost the
// lease meanwhile is refused, so that its successor knows of every endpoint that
// may just have got an order.
func (l *leases) announce(now time.Duration, request *rpc.AnnounceOrders) *rpc.Result {
	if len(request.GetEndpoints()) > maxAnnounced {
		return refused(rpc.RefusalReason_REFUSED_MALFORMED)
	}
	if !l.holds(now, request.GetLease(), request.GetFence()) {
		return refused(rpc.RefusalReason_REFUSED_LEASE_LOST)
	}
	row := l.rows[request.GetLease()]
	for _, endpoint := range request.GetEndpoints() {
		if len(endpoint) > maxNameBytes {
			return refused(rpc.RefusalReason_REFUSED_MALFORMED)
		}
		row.announced[endpoint] = &rpc.AnnouncedOrder{
			Endpoint: endpoint, Instance: row.holder.instance, Announced: int64(now),
		}
	}
	return done()
}

func (l *leases) answer(now time.Duration, row *lease, granted bool, retryAfter time.Duration) *rpc.Result {
	answer := &rpc.LeaseAnswer{
		Granted:         granted,
		Fence:           row.fence,
		Holder:          &rpc.ClaimOwner{Instance: row.holder.instance, Boot: row.holder.boot},
		RetryAfterNanos: int64(retryAfter),
	}
	if granted {
		answer.Loads = l.sortedLoads()
		for _, order := range row.sortedOrders() {
			if order.GetInstance() != row.holder.instance {
				order = proto.CloneOf(order)
				order.AgeNanos = int64(now) - order.GetAnnounced()
				answer.Announced = append(answer.Announced, order)
			}
		}
	}
	return &rpc.Result{Answer: &rpc.Result_Lease{Lease: answer}}
}

// release frees a lease at once. Only its holder may send it, after its last
// order has been answered.
func (l *leases) release(request *rpc.ReleaseLease) *rpc.Result {
	if row := l.rows[request.GetName()]; row != nil && row.fence == request.GetFence() {
		row.expires = 0
	}
	return done()
}

func (l *leases) holds(now time.Duration, name string, fence uint64) bool {
	row := l.rows[name]
	return row != nil && row.fence == fence && now < row.expires
}

// startLoad takes one of the places at the weight store. A load that is already
// counted for the same weights is taken over, since an order may be repeated.
func (l *leases) startLoad(now time.Duration, limit int, request *rpc.StartLoad) *rpc.Result {
	if !l.holds(now, request.GetLease(), request.GetFence()) {
		return refused(rpc.RefusalReason_REFUSED_LEASE_LOST)
	}
	running := l.loads[request.GetEndpoint()]
	same := running != nil && running.GetModel() == request.GetModel() && running.GetWeights() == request.GetWeights()
	if !same && (running != nil || len(l.loads) >= limit) {
		return refused(rpc.RefusalReason_REFUSED_LOADS_FULL)
	}
	l.loads[request.GetEndpoint()] = &rpc.Load{
		Endpoint: request.GetEndpoint(),
		Model:    request.GetModel(),
		Weights:  request.GetWeights(),
		Fence:    request.GetFence(),
		Started:  int64(now),
	}
	return done()
}

// endLoad frees the place of a load that was read back as ended.
func (l *leases) endLoad(now time.Duration, request *rpc.EndLoad) *rpc.Result {
	if !l.holds(now, request.GetLease(), request.GetFence()) {
		return refused(rpc.RefusalReason_REFUSED_LEASE_LOST)
	}
	delete(l.loads, request.GetEndpoint())
	return done()
}

func (l *leases) sortedLoads() []*rpc.Load {
	loads := make([]*rpc.Load, 0, len(l.loads))
	for _, endpoint := range slices.Sorted(maps.Keys(l.loads)) {
		loads = append(loads, l.loads[endpoint])
	}
	return loads
}

func (row *lease) sortedOrders() []*rpc.AnnouncedOrder {
	orders := make([]*rpc.AnnouncedOrder, 0, len(row.announced))
	for _, endpoint := range slices.Sorted(maps.Keys(row.announced)) {
		orders = append(orders, row.announced[endpoint])
	}
	return orders
}

func (l *leases) save(snapshot *rpc.Snapshot) {
	for _, name := range slices.Sorted(maps.Keys(l.rows)) {
		row := l.rows[name]
		snapshot.Leases = append(snapshot.Leases, &rpc.LeaseRow{
			Name:    name,
			Holder:  &rpc.ClaimOwner{Instance: row.holder.instance, Boot: row.holder.boot},
			Fence:   row.fence,
			Expires: int64(row.expires), Announced: row.sortedOrders(),
		})
	}
	snapshot.Loads = l.sortedLoads()
}

func (l *leases) load(snapshot *rpc.Snapshot) {
	for _, saved := range snapshot.GetLeases() {
		row := &lease{
			holder:    owner{saved.GetHolder().GetInstance(), saved.GetHolder().GetBoot()},
			fence:     saved.GetFence(),
			expires:   time.Duration(saved.GetExpires()),
			announced: map[string]*rpc.AnnouncedOrder{},
		}
		for _, order := range saved.GetAnnounced() {
			row.announced[order.GetEndpoint()] = order
		}
		l.rows[saved.GetName()] = row
	}
	for _, load := range snapshot.GetLoads() {
		l.loads[load.GetEndpoint()] = load
	}
}
