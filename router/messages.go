// Package router is the one facade over the tables and systems: typed inputs
// and a clock reading go in, typed actions come out. It holds no goroutine,
// clock, random source or socket, so that the daemon, the measure command,
// tests and outside harnesses drive the same decisions.
package router

import (
	"time"

	"github.com/carawaystile/carawaystile/systems/quarantine"
	"github.com/carawaystile/carawaystile/tables"
)

// Input is something that happened outside the decisions.
type Input interface{ input() }

// LoadReport is what an endpoint says of itself; it describes a moment that
// lies a lag in the past.
type LoadReport struct {
	Endpoint tables.EndpointID
	Boot     tables.BootID
	Weights  map[tables.ModelName]tables.WeightsVersion
	Running  int
	Queued   int
	// QueuedPrefillTokens is prefill work waiting at the endpoint.
	QueuedPrefillTokens int
	CacheBlocks         int
	// Attempts lists running and queued attempts if the endpoint tells, so
	// that own dispatches can be told from others'.
	Attempts []tables.AttemptID
}

// CacheEvent says that blocks entered or left an endpoint's cache.
type CacheEvent struct {
	Endpoint tables.EndpointID
	Boot     tables.BootID
	// Sequence grows by one per event within a boot; a jump is a gap.
	Sequence uint64
	Stored   []tables.BlockHash
	Evicted  []tables.BlockHash
}

// PeerPlacement is what another instance passes on: a prefix placed at an
// endpoint.
type PeerPlacement struct {
	Endpoint tables.EndpointID
	Boot     tables.BootID
	Block    tables.BlockHash
}

// AttemptStarted says that the endpoint accepted an attempt.
type AttemptStarted struct {
	Attempt tables.AttemptID
	Boot    tables.BootID
	Weights tables.WeightsVersion
}

// FirstToken says that an attempt produced its first token, and how many
// prompt tokens the endpoint took from its cache.
type FirstToken struct {
	Attempt      tables.AttemptID
	CachedTokens int
}

// AttemptResult says how an attempt ended.
type AttemptResult uint8

// The ends of an attempt.
const (
	// Completed: the whole answer arrived.
	Completed AttemptResult = iota
	// NotStarted: provably nothing ran.
	NotStarted
	// Rejected: the endpoint said no before running (full, wrong version).
	Rejected
	// Interrupted: the connection or the endpoint failed after dispatch.
	Interrupted
	// Crashed: Broken, and the endpoint's boot identity changed or its port
	// refuses connections.
	Crashed
	// Cancelled: ended by us.
	Cancelled
	// Unreachable: provably nothing ran, because the endpoint's address took no
	// connection.
	Unreachable
)

// AttemptEnded ends an attempt. Delivered is the number of tokens that have
// reached the caller so far.
type AttemptEnded struct {
	Attempt         tables.AttemptID
	Result          AttemptResult
	GeneratedTokens int
	DeliveredTokens int
}

// CrashDetected says that the endpoint of an attempt that has ended with Broken turned out
// to have crashed.
type CrashDetected struct {
	Attempt tables.AttemptID
}

// EndpointWithdrawn says that an endpoint leaves according to a source other than
// the configuration (the platform's list), for the given life and before.
type EndpointWithdrawn struct {
	Endpoint tables.EndpointID
	Life     uint64
}

// EntryPeers says how many entry instances share the load, for limits that hold
// over all of them.
type EntryPeers struct {
	// Share is this instance's part of the traffic, above 0 and at most 1.
	Share float64
	// Rank is this instance's place among the Count live entry instances, in an
	// order that all of them agree on, from 0. Count 0 means not known.
	Rank, Count int
}

// PeerSuspect is what another instance found out about a crash, or about a
// request that crashes endpoints.
type PeerSuspect struct {
	Suspect quarantine.Suspect
}

func (LoadReport) input()        {}
func (CacheEvent) input()        {}
func (PeerPlacement) input()     {}
func (AttemptStarted) input()    {}
func (FirstToken) input()        {}
func (AttemptEnded) input()      {}
func (CrashDetected) input()     {}
func (EndpointWithdrawn) input() {}
func (EntryPeers) input()        {}
func (PeerSuspect) input()       {}

// Action is something the shell must do now.
type Action interface{ action() }

// Dispatch starts an attempt at an endpoint. For work that must run at most
// once the shell asks for the claim before it acts, and reports NeverStarted
// when it is not granted.
type Dispatch struct {
	Request  tables.RequestID
	Attempt  tables.AttemptID
	Endpoint tables.Endpoint
	// Boot is the life that placement counted on, empty if none is known yet.
	Boot tables.BootID
	// Weights must be what the endpoint serves, or it refuses the attempt.
	Weights  tables.WeightsVersion
	Priority tables.Priority
	// ResumeFrom is the number of tokens the caller already has.
	ResumeFrom int
	Hedge      bool
}

// Refuse ends a request that never left this process.
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

// Abort cancels an attempt that lost or is no longer wanted.
type Abort struct {
	Attempt  tables.AttemptID
	Endpoint tables.Endpoint
}

// BroadcastSuspects asks the shell to tell the other instances about a crash. Losing
// the message costs no more than a further endpoint.
type BroadcastSuspects struct {
	Suspects []quarantine.Suspect
}

func (Dispatch) action()          {}
func (Refuse) action()            {}
func (Fail) action()              {}
func (Abort) action()             {}
func (BroadcastSuspects) action() {}
