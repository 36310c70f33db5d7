package dispatch

import (
	"math"

	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

// An engine can copy the memory of a running request to another engine of its service, the
// backup, which can continue the run if the first engine crashes. The copy occupies memory at
// the backup until the run ends.

// maxCopyFraction is the fraction of an engine's memory that copies of other engines' runs may
// occupy: an engine evicts cached prompts for them.
const maxCopyFraction = 0.1

// maxFirstCopyMemoryFraction is the fraction of an engine's memory below which the known use must
// stay if an instance's first copy there exceeds its share: the instances together may exceed
// maxCopyFraction by a copy each.
const maxFirstCopyMemoryFraction = 0.8

// copyLoad is the part of an endpoint's memory that copies of other endpoints' runs occupy, in
// tokens: all copies that this instance knows, and those of them that remote schedulers have
// placed and report.
type copyLoad struct {
	tokens, remotelyPlaced int
}

// locallyPlaced returns the copies that this instance has placed and reports, in tokens.
func (l copyLoad) locallyPlaced() int { return l.tokens - l.remotelyPlaced }

// HasBackup reports whether Backup is set.
func (a *Attempt) HasBackup() bool { return a.Backup.Address.IsValid() }

// BackupsEnabled reports whether engines of the service should back up runs.
func (d *Dispatcher) BackupsEnabled(service string) bool {
	return d.enabled(d.options.Capacity.Backups, service)
}

// assignBackup chooses the endpoint that backs a new attempt up, if the request wants one, and
// counts the copy there.
func (d *Dispatcher) assignBackup(now tables.Instant, r *Request, a *Attempt) {
	if !r.WantsBackup || !r.Service.Backups || !a.isGeneration {
		return
	}
	if row := d.chooseBackup(now, r, a); row != nil {
		d.countCopy(a, row)
		d.markDirty(row)
	}
}

// chooseBackup returns the endpoint with the most free memory among those that can hold a copy
// of the run and continue it, or nil if there is none. Endpoints in the zone of the attempt go
// first, since traffic between zones is billed.
func (d *Dispatcher) chooseBackup(now tables.Instant, r *Request, a *Attempt) *endpointRow {
	var best *endpointRow
	bestFree, bestInZone := math.Inf(-1), false
	for _, row := range d.services[r.Service.Name] {
		sameZone := row.Zone == a.row.Zone
		if row == a.row || row.Software != a.row.Software || bestInZone && !sameZone {
			continue
		}
		// The checks come last, since few rows have more free memory than the best before them.
		free := d.freeMemory(now, r, row)
		if sameZone == bestInZone && free <= bestFree || row.Weights[r.Model] != a.WeightsVersion || !d.mayHoldCopy(now, r, row, a.memoryTokens) {
			continue
		}
		best, bestFree, bestInZone = row, free, sameZone
	}
	return best
}

// mayHoldCopy reports whether an endpoint may receive a copy of the given size in tokens.
//
// Load reports do not tell copies from other memory, so an instance keeps its own copies at an
// endpoint within its share of the limit. Where many place, the share is smaller than a copy, so
// the first one may exceed it if memory use stays below maxFirstCopyMemoryFraction.
func (d *Dispatcher) mayHoldCopy(now tables.Instant, r *Request, row *endpointRow, tokens int) bool {
	if r.excludes(row) || row.Loading || row.halfOpen || row.isLeaving() || row.announced.pushedBack(now) || !row.canServeFetch(now) {
		return false
	}
	capacity := float64(r.Service.KVCapacityTokens)
	limit := maxCopyFraction * capacity
	if float64(row.copies.tokens+tokens) > limit {
		return false
	}
	used, own := d.usedMemory(now, row)+float64(tokens), row.copies.locallyPlaced()
	if float64(own+tokens)*d.placers() > limit && (own > 0 || used >= maxFirstCopyMemoryFraction*capacity) {
		return false
	}
	return used <= maxMemoryFraction*capacity
}

// placers returns how many instances place requests.
func (d *Dispatcher) placers() float64 { return 1 + d.schedulers + d.remoteSchedulers }

// usedMemory estimates the memory of an engine that requests and copies occupy, in tokens.
func (d *Dispatcher) usedMemory(now tables.Instant, row *endpointRow) float64 {
	return float64(row.memoryTokens+row.reported.memoryTokens) + row.unreportedAttempts(now)*row.averages.memoryTokens
}

// freeMemory returns the free memory of an engine in tokens, for comparison with others. If
// several instances place requests, it is reduced by a pseudorandom amount of up to
// maxCopyFraction of the memory, so that they do not all choose the same engine before they
// learn of each other's choices.
func (d *Dispatcher) freeMemory(now tables.Instant, r *Request, row *endpointRow) float64 {
	free := float64(r.Service.KVCapacityTokens) - d.usedMemory(now, row)
	if d.placers() == 1 {
		return free
	}
	hash := placement.Mix64(row.hash ^ d.options.Seed ^ d.decisions*0x9e3779b97f4a7c15)
	return free - maxCopyFraction*float64(r.Service.KVCapacityTokens)*float64(hash>>40)/(1<<24)
}

// countCopy counts the copy of an attempt's memory as memory of its backup endpoint.
func (d *Dispatcher) countCopy(a *Attempt, row *endpointRow) {
	a.Backup, a.backupRow = row.Endpoint, row
	row.memoryTokens += a.memoryTokens
	row.copies.tokens += a.memoryTokens
	if a.remotelyPlaced {
		row.remotelyPlaced.memoryTokens += a.memoryTokens
		row.copies.remotelyPlaced += a.memoryTokens
	}
}

// releaseCopy stops counting the copy of an attempt that has ended.
func (d *Dispatcher) releaseCopy(a *Attempt) {
	row := a.backupRow
	if row == nil {
		return
	}
	row.memoryTokens -= a.memoryTokens
	row.copies.tokens -= a.memoryTokens
	if a.remotelyPlaced {
		row.remotelyPlaced.memoryTokens -= a.memoryTokens
		row.copies.remotelyPlaced -= a.memoryTokens
		return
	}
	d.markDirty(row)
}

// countChosenBackup counts the copy at the backup endpoint that a remote scheduler has chosen,
// unless this instance knows that the endpoint cannot continue the run.
func (d *Dispatcher) countChosenBackup(now tables.Instant, r *Request, a *Attempt, backup tables.EndpointID) {
	row := d.endpoints[backup]
	if row == nil || !r.WantsBackup || row == a.row || row.Software != a.row.Software || row.Service != r.Service.Name || row.isLeaving() ||
		!row.canServeFetch(now) || row.Weights[r.Model] > a.WeightsVersion {
		return
	}
	d.countCopy(a, row)
}

// copiesOnly reduces the load report of an instance without attempts at the endpoint to the
// memory of its copies there, or to nothing while backups are disabled.
func (d *Dispatcher) copiesOnly(l LoadReport, service string) LoadReport {
	if l.Running > 0 {
		return l
	}
	l.PrefillTokens = 0
	if !d.BackupsEnabled(service) {
		l.MemoryTokens = 0
	}
	return l
}

// ContinuationRefusal is why a run is not continued at its backup endpoint. Its text appears in
// logs and metrics.
type ContinuationRefusal string

// The reasons for which the load balancer does not continue a run.
const (
	// BackupUnavailable: the backup endpoint is known not to accept the run any more.
	BackupUnavailable ContinuationRefusal = "backup unavailable"
	// WeightsChanged: the first endpoint has changed to other weights under the run, or may have.
	WeightsChanged ContinuationRefusal = "weights changed"
	// RetryBudgetUsedUp: the retry budget permits no retry now.
	RetryBudgetUsedUp ContinuationRefusal = "retry budget"
)

// RunWeights is what this instance knows of the weights of a run with a backup.
type RunWeights struct {
	// Run is the version that the run began with, Endpoint and Backup those that the two endpoints were
	// last known to serve, and Target the newest one that endpoints should serve; 0 if not known.
	Run, Endpoint, Backup, Target uint64
	// Loading is set if the endpoint of the run was last known to load other weights.
	Loading bool
}

// WeightsOf returns what this instance knows of the weights of an attempt's run.
func (d *Dispatcher) WeightsOf(r *Request, a *Attempt) RunWeights {
	known := RunWeights{Run: a.WeightsVersion, Endpoint: a.row.Weights[r.Model], Target: d.weights.Latest(r.Model), Loading: a.row.Loading}
	if a.backupRow != nil {
		known.Backup = a.backupRow.Weights[r.Model]
	}
	return known
}

// MayHaveChanged reports whether the endpoint may have made a part of the run's memory by other weights. It
// may load the target at any time, and the first event after that may not have arrived. An order that is carried
// out late takes it back to older ones.
func (w RunWeights) MayHaveChanged() bool {
	return w.Loading || w.Endpoint != 0 && w.Endpoint != w.Run || w.Target > w.Run
}

// Continue counts an attempt that continues the run of an ended attempt at its backup endpoint.
// If the run cannot be continued the attempt is nil and the refusal gives the reason. The caller
// has verified that the process of the first endpoint has ended and that its response has named no
// other weights, and calls TakeContinuation before it sends the attempt.
func (d *Dispatcher) Continue(now tables.Instant, r *Request, ended *Attempt) (*Attempt, ContinuationRefusal) {
	row := ended.backupRow
	if d.WeightsOf(r, ended).MayHaveChanged() {
		return nil, WeightsChanged
	}
	if row == nil || row.Software != ended.Endpoint.Software || !d.mayContinueAt(now, r, row, ended.WeightsVersion) {
		return nil, BackupUnavailable
	}
	if !d.canRetryAt(now, r, row) {
		return nil, RetryBudgetUsedUp
	}
	a := &Attempt{
		Endpoint:       row.Endpoint,
		WeightsVersion: ended.WeightsVersion,
		Relayed:        !row.reachableOver(now, direct),
		Rationale:      rationaleOf(now, r, &candidate{row: row}),
		row:            row,
		startedAt:      now,
		memoryTokens:   ended.memoryTokens,
		isGeneration:   true,
	}
	a.Rationale.Rule = RuleContinued
	row.attempts++
	row.memoryTokens += a.memoryTokens
	d.markDirty(row)
	return a, ""
}

// TakeContinuation takes a placed continuation that is about to be sent from the retry budget. If
// the budget does not permit it, it returns false and takes nothing.
func (d *Dispatcher) TakeContinuation(now tables.Instant, r *Request, a *Attempt) bool {
	if !d.canRetryAt(now, r, a.row) || !d.TakeRetry(now, r.Service.Name) {
		return false
	}
	if !d.addressConfirmed(now, a.row) {
		d.countUnconfirmed(now, a)
	}
	return true
}

// canRetryAt reports whether the retry budget permits a retry at the endpoint.
func (d *Dispatcher) canRetryAt(now tables.Instant, r *Request, row *endpointRow) bool {
	return d.CanRetry(now, r.Service.Name) && (d.addressConfirmed(now, row) || d.CanRetryUnconfirmed(now))
}

// mayContinueAt reports whether a run on a version of the weights may be sent to an endpoint
// that holds a copy of it. Whether the endpoint is at capacity is left to it.
func (d *Dispatcher) mayContinueAt(now tables.Instant, r *Request, row *endpointRow, version uint64) bool {
	if row.removed || row.isLeaving() || row.absentFor(now) > 0 || !row.hasPath(now) {
		return false
	}
	return !row.announced.pushedBack(now) && !row.limit.exhausted(now) && row.Weights[r.Model] <= version
}
