package state

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaystile/carawaystile/rpc"
)

// leaseTable holds the named leases under which controllers send orders to
// endpoints, and the semaphore of running weight loads.
type leaseTable struct {
	rows map[string]*lease
	// loads is keyed by endpoint. Loads outlive the lease under which they
	// started, because they keep using the weight store under the next holder.
	loads map[string]*rpc.Load
}

// lease is the row of one named lease. The fence is its fencing token, the log
// index of the command that granted it.
type lease struct {
	holder    processID
	fence     uint64
	expiresAt time.Duration
	// announced holds, by endpoint, the newest order that may have been sent
	// under this lease or an earlier one.
	announced map[string]*rpc.AnnouncedOrder
}

func newLeaseTable() leaseTable {
	return leaseTable{rows: map[string]*lease{}, loads: map[string]*rpc.Load{}}
}

// acquire grants a lease that is free or expired under a new fencing token, and
// renews it for its holder under the current one.
//
// The holder counts the duration from before it sent the request, by its own
// clock and less a margin for drift. Log time counts the full duration from
// here and no faster than real time. So the holder has stopped before the lease
// is granted to another process.
func (l *leaseTable) acquire(index uint64, now time.Duration, request *rpc.AcquireLease) *rpc.Result {
	duration := time.Duration(request.GetDurationNanos())
	if duration < minLeaseDuration || duration > maxLeaseDuration || len(request.GetName()) > maxNameBytes {
		return refused(rpc.RefusalReason_REFUSED_MALFORMED)
	}
	requester := processID{request.GetHolder().GetInstance(), request.GetHolder().GetBoot()}
	row := l.rows[request.GetName()]
	if row != nil && now < row.expiresAt && row.holder != requester {
		return l.result(now, row, false, row.expiresAt-now)
	}
	if row == nil || now >= row.expiresAt {
		next := &lease{holder: requester, fence: index, announced: map[string]*rpc.AnnouncedOrder{}}
		if row != nil {
			next.announced = row.announced
		}
		row = next
		l.rows[request.GetName()] = row
	}
	row.expiresAt = now + duration
	row.dropOldAnnouncements(now)
	return l.result(now, row, true, 0)
}

// dropOldAnnouncements deletes announced orders that are older than the longest
// lease.
func (row *lease) dropOldAnnouncements(now time.Duration) {
	maps.DeleteFunc(row.announced, func(_ string, order *rpc.AnnouncedOrder) bool {
		return now-time.Duration(order.GetAnnounced()) > maxLeaseDuration
	})
}

// announce records that orders may be sent to endpoints, before they are sent.
// A holder that has lost the lease is refused. The next holder therefore learns
// of every endpoint that may just have received an order.
func (l *leaseTable) announce(now time.Duration, request *rpc.AnnounceOrders) *rpc.Result {
	if len(request.GetEndpoints()) > maxAnnouncedOrders {
		return refused(rpc.RefusalReason_REFUSED_MALFORMED)
	}
	if !l.isHeldUnder(now, request.GetLease(), request.GetFence()) {
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

func (l *leaseTable) result(now time.Duration, row *lease, granted bool, retryAfter time.Duration) *rpc.Result {
	answer := &rpc.LeaseAnswer{
		Granted:         granted,
		Fence:           row.fence,
		Holder:          &rpc.ClaimOwner{Instance: row.holder.instance, Boot: row.holder.boot},
		RetryAfterNanos: int64(retryAfter),
	}
	if granted {
		answer.Loads = l.sortedLoads()
		for _, order := range row.sortedAnnouncements() {
			if order.GetInstance() != row.holder.instance {
				order = proto.CloneOf(order)
				order.AgeNanos = int64(now) - order.GetAnnounced()
				answer.Announced = append(answer.Announced, order)
			}
		}
	}
	return &rpc.Result{Answer: &rpc.Result_Lease{Lease: answer}}
}

// release ends a lease before it expires. Only the holder sends it, after the
// last of its orders has been answered.
func (l *leaseTable) release(request *rpc.ReleaseLease) *rpc.Result {
	if row := l.rows[request.GetName()]; row != nil && row.fence == request.GetFence() {
		row.expiresAt = 0
	}
	return done()
}

// isHeldUnder reports whether the lease is unexpired and was granted under the
// fencing token.
func (l *leaseTable) isHeldUnder(now time.Duration, name string, fence uint64) bool {
	row := l.rows[name]
	return row != nil && row.fence == fence && now < row.expiresAt
}

// startLoad takes one of the slots of the weight store. It succeeds without a
// second slot if the same load is counted already, since orders may be
// repeated.
func (l *leaseTable) startLoad(now time.Duration, limit int, request *rpc.StartLoad) *rpc.Result {
	if !l.isHeldUnder(now, request.GetLease(), request.GetFence()) {
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

// endLoad frees the slot of a load that the endpoint reports as ended.
func (l *leaseTable) endLoad(now time.Duration, request *rpc.EndLoad) *rpc.Result {
	if !l.isHeldUnder(now, request.GetLease(), request.GetFence()) {
		return refused(rpc.RefusalReason_REFUSED_LEASE_LOST)
	}
	delete(l.loads, request.GetEndpoint())
	return done()
}

func (l *leaseTable) sortedLoads() []*rpc.Load {
	loads := make([]*rpc.Load, 0, len(l.loads))
	for _, endpoint := range slices.Sorted(maps.Keys(l.loads)) {
		loads = append(loads, l.loads[endpoint])
	}
	return loads
}

func (row *lease) sortedAnnouncements() []*rpc.AnnouncedOrder {
	orders := make([]*rpc.AnnouncedOrder, 0, len(row.announced))
	for _, endpoint := range slices.Sorted(maps.Keys(row.announced)) {
		orders = append(orders, row.announced[endpoint])
	}
	return orders
}

func (l *leaseTable) save(snapshot *rpc.Snapshot) {
	for _, name := range slices.Sorted(maps.Keys(l.rows)) {
		row := l.rows[name]
		snapshot.Leases = append(snapshot.Leases, &rpc.LeaseRow{
			Name:    name,
			Holder:  &rpc.ClaimOwner{Instance: row.holder.instance, Boot: row.holder.boot},
			Fence:   row.fence,
			Expires: int64(row.expiresAt), Announced: row.sortedAnnouncements(),
		})
	}
	snapshot.Loads = l.sortedLoads()
}

func (l *leaseTable) restore(snapshot *rpc.Snapshot) {
	for _, saved := range snapshot.GetLeases() {
		row := &lease{
			holder:    processID{saved.GetHolder().GetInstance(), saved.GetHolder().GetBoot()},
			fence:     saved.GetFence(),
			expiresAt: time.Duration(saved.GetExpires()),
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
