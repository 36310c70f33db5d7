// Package router decides where, when and whether each request runs: it is the
// cache-aware load balancer, retry policy and admission control of one instance
// behind a single facade. It is a deterministic state machine. Inputs and a
// clock reading go in, actions come out. The package has no goroutine, clock,
// random source or socket of its own, so that the daemon, the measure command,
// tests and external test harnesses run exactly the same decisions.
package router

import (
	"time"

	"github.com/carawaystile/carawaystile/systems/quarantine"
	"github.com/carawaystile/carawaystile/tables"
)

// Input is an event that the router observes.
type Input interface{ input() }

// LoadReport is an endpoint's report of its own state. It describes the
// endpoint at an earlier instant, by the reporting delay.
type LoadReport struct {
	Endpoint tables.EndpointID
	Boot     tables.BootID
	Weights  map[tables.ModelName]tables.WeightsVersion
	Running  int
	Queued   int
	// QueuedPrefillTokens is the prefill work, in tokens, that is queued at the
	// endpoint.
	QueuedPrefillTokens int
	CacheBlocks         int
	// Attempts lists the running and queued attempts, if the endpoint reports
	// them. They allow the router to separate its own attempts from those of
	// other instances.
	Attempts []tables.AttemptID
}

// CacheEvent reports blocks that entered or left an endpoint's prefix cache.
type CacheEvent struct {
	Endpoint tables.EndpointID
	Boot     tables.BootID
	// Sequence grows by one per event within a boot. A jump means that events
	// were lost.
	Sequence uint64
	Stored   []tables.BlockHash
	Evicted  []tables.BlockHash
}

// PeerPlacement is gossip from another instance: it has placed a request with
// this prefix block at the endpoint.
type PeerPlacement struct {
	Endpoint tables.EndpointID
	Boot     tables.BootID
	Block    tables.BlockHash
}

// AttemptStarted reports that the endpoint accepted an attempt.
type AttemptStarted struct {
	Attempt tables.AttemptID
	Boot    tables.BootID
	Weights tables.WeightsVersion
}

// FirstToken reports an attempt's first token and the number of prompt tokens
// that the endpoint found in its cache.
type FirstToken struct {
	Attempt      tables.AttemptID
	CachedTokens int
}

// AttemptProgressed reports that an attempt has generated so many tokens. It is not sent for each one.
type AttemptProgressed struct {
	Attempt tables.AttemptID
	Tokens  int
}

// AttemptResult is the way in which an attempt ended.
type AttemptResult uint8

// The results of an attempt.
const (
	// Completed: the whole answer arrived.
	Completed AttemptResult = iota
	// NotStarted: it is certain that nothing ran.
	NotStarted
	// Rejected: the endpoint rejected the attempt before running it, because it
	// was full or served another version.
	Rejected
	// Interrupted: the connection or the endpoint failed after dispatch.
	Interrupted
	// Crashed: as Interrupted, and the endpoint's boot ID has changed or its
	// port refuses connections.
	Crashed
	// Cancelled: this process ended the attempt.
	Cancelled
	// Unreachable: no connection to the endpoint's address could be made, so it
	// is certain that nothing ran.
	Unreachable
)

// AttemptEnded reports the end of an attempt. DeliveredTokens is the number of
// tokens that have reached the caller so far.
type AttemptEnded struct {
	Attempt         tables.AttemptID
	Result          AttemptResult
	GeneratedTokens int
	DeliveredTokens int
}

// CrashDetected reports that the endpoint of an attempt that ended as
// Interrupted turned out to have crashed.
type CrashDetected struct {
	Attempt tables.AttemptID
}

// EndpointWithdrawn reports that a source other than the configuration, such as
// the platform's list, has withdrawn the endpoint for the given generation and
// every earlier one.
type EndpointWithdrawn struct {
	Endpoint tables.EndpointID
	Life     uint64
}

// EntryPeers describes how the entry instances divide the traffic. It scales
// the limits that apply to all of them together.
type EntryPeers struct {
	// Share is this instance's fraction of the traffic, above 0 and at most 1.
	Share float64
	// Rank is this instance's position among the Count live entry instances,
	// from 0, in an order that all of them agree on. A Count of 0 means
	// unknown.
	Rank, Count int
}

// PeerSuspect is gossip from another instance about a crash, or about a request
// that crashes endpoints.
type PeerSuspect struct {
	Suspect quarantine.Suspect
}

func (LoadReport) input()        {}
func (CacheEvent) input()        {}
func (PeerPlacement) input()     {}
func (AttemptStarted) input()    {}
func (FirstToken) input()        {}
func (AttemptProgressed) input() {}
func (AttemptEnded) input()      {}
func (CrashDetected) input()     {}
func (EndpointWithdrawn) input() {}
func (EntryPeers) input()        {}
func (PeerSuspect) input()       {}

// Action is something that the caller of Tick must carry out.
type Action interface{ action() }

// Dispatch starts an attempt at an endpoint. For work that must run at most
// once, the caller of Tick first claims the idempotency key, and reports
// NotStarted if the claim is not granted.
type Dispatch struct {
	Request  tables.RequestID
	Attempt  tables.AttemptID
	Endpoint tables.Endpoint
	// Boot is the boot that placement assumed, empty if none is known yet.
	Boot tables.BootID
	// Weights is the version that the endpoint must serve; otherwise it rejects
	// the attempt.
	Weights  tables.WeightsVersion
	Priority tables.Priority
	// ResumeFrom is the number of tokens that the caller already has.
	ResumeFrom int
	Hedge      bool
}

// Refuse ends a request that was never dispatched.
type Refuse struct {
	Request tables.RequestID
	Refusal tables.Refusal
}

// Fail ends a request that was dispatched and cannot be completed.
type Fail struct {
	Request    tables.RequestID
	Code       tables.ErrorCode
	Outcome    tables.Outcome
	RetryAfter time.Duration
}

// Abort cancels an attempt that lost to a hedge or is no longer needed.
type Abort struct {
	Attempt  tables.AttemptID
	Endpoint tables.Endpoint
}

// BroadcastSuspects asks the caller of Tick to send the suspects of a crash to
// the other instances. If the message is lost, at most one more endpoint
// crashes.
type BroadcastSuspects struct {
	Suspects []quarantine.Suspect
}

// GossipConvictions asks the caller of Tick to send the convictions in force to
// some other instances, which may have missed them.
type GossipConvictions struct {
	Convictions []quarantine.Suspect
}

// PartsChanged asks the caller of Tick to log the parts of prompts that were
// convicted or released.
type PartsChanged struct {
	Changes []quarantine.PartChange
}

func (Dispatch) action()          {}
func (Refuse) action()            {}
func (Fail) action()              {}
func (Abort) action()             {}
func (BroadcastSuspects) action() {}
func (GossipConvictions) action() {}
func (PartsChanged) action()      {}
