// Package state implements the replicated state machine of the control group,
// to which the consensus log is applied. It holds the configuration history,
// the idempotency claims that give keyed requests at-most-once execution, the
// fenced leases and weight loads of the controllers that send orders to
// endpoints, and the documents of operators.
//
// The state machine is deterministic: equal commands in equal order give equal
// states and results at every replica. Nothing here reads a clock or a random
// source, or depends on the iteration order of a map. It is not safe for
// concurrent use.
package state

import (
	"fmt"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/carawaystile/carawaystile/control/configuration"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// snapshotVersion is the format version written into snapshots. Restore rejects
// any other version.
const snapshotVersion = 1

// State is the replicated state machine.
//
// Its clock is the log time. Each command carries a stamp from the monotonic
// clock of the leader that proposed it. A newly elected leader continues from
// the newest stamp in its log, so log time never runs faster than the fastest
// leader's clock, also across leader changes. A duration that has elapsed in
// log time has therefore elapsed in real time at every instance, except for
// clock drift.
type State struct {
	limits        Limits
	group         uint64
	founders      []*rpc.Founder
	now           time.Duration
	configuration configurationStore
	claims        claimTable
	leases        leaseTable
	documents     documentStore
}

// New returns an empty state machine. All replicas must use equal limits.
func New(limits Limits) *State {
	return &State{
		limits:        limits,
		configuration: newConfigurationStore(limits),
		claims:        newClaimTable(limits),
		leases:        newLeaseTable(),
		documents:     newDocumentStore(),
	}
}

// Bootstrap sets the ID of the group and its founding replicas. It is called
// once, on an empty state, before the first snapshot is taken.
func (s *State) Bootstrap(group uint64, founders []*rpc.Founder) {
	s.group, s.founders = group, founders
}

// Group returns the group ID and the founders that were given to Bootstrap.
func (s *State) Group() (uint64, []*rpc.Founder) { return s.group, s.founders }

// Now returns the log time of the newest command.
func (s *State) Now() time.Duration { return s.now }

// Apply decodes and executes one committed log entry. An entry that cannot be
// decoded is refused as malformed and changes nothing at any replica.
func (s *State) Apply(index uint64, entry []byte) (*rpc.Command, *rpc.Result) {
	command := &rpc.Command{}
	if err := proto.Unmarshal(entry, command); err != nil {
		return command, refused(rpc.RefusalReason_REFUSED_MALFORMED)
	}
	return command, s.Execute(index, command)
}

// Execute applies a decoded command. The index is the log index of the command
// and must increase from call to call, because fencing tokens are log indexes.
func (s *State) Execute(index uint64, command *rpc.Command) *rpc.Result {
	s.now = max(s.now, time.Duration(command.GetStamp()))
	s.claims.expire(s.now)
	switch action := command.GetAction().(type) {
	case *rpc.Command_Apply:
		return s.configuration.apply(action.Apply, command.GetWall())
	case *rpc.Command_ChangeLife:
		return s.configuration.changeLife(action.ChangeLife, command.GetWall())
	case *rpc.Command_Claim:
		return s.claims.claim(index, s.now, action.Claim)
	case *rpc.Command_MarkDispatched:
		return s.claims.markDispatched(index, s.now, action.MarkDispatched)
	case *rpc.Command_FinishClaim:
		return s.claims.finish(index, s.now, action.FinishClaim)
	case *rpc.Command_ReleaseClaim:
		return s.claims.release(action.ReleaseClaim)
	case *rpc.Command_KeepAlive:
		return s.claims.keepAlive(s.now, action.KeepAlive)
	case *rpc.Command_AcquireLease:
		return s.leases.acquire(index, s.now, action.AcquireLease)
	case *rpc.Command_ReleaseLease:
		return s.leases.release(action.ReleaseLease)
	case *rpc.Command_StartLoad:
		return s.leases.startLoad(s.now, s.configuration.content.WeightLoadLimit(), action.StartLoad)
	case *rpc.Command_EndLoad:
		return s.leases.endLoad(s.now, action.EndLoad)
	case *rpc.Command_AnnounceOrders:
		return s.leases.announce(s.now, action.AnnounceOrders)
	case *rpc.Command_PutDocument:
		return s.documents.put(s.group, action.PutDocument)
	case *rpc.Command_PassTime:
		return done()
	default:
		return refused(rpc.RefusalReason_REFUSED_MALFORMED)
	}
}

// Revision returns the number of the configuration in force, zero if there is
// none.
func (s *State) Revision() tables.Revision {
	return tables.Revision(s.configuration.revision)
}

// Content returns the configuration in force. The caller must not modify it.
func (s *State) Content() *configuration.Content { return s.configuration.content }

// History returns the retained revisions, oldest first. The caller must not
// modify them.
func (s *State) History() []*rpc.Revision { return s.configuration.history }

// ChangesSince returns the items that update a copy from the given revision to
// the one in force. It returns false if the history no longer reaches back to
// that revision; the copy then needs the whole content.
func (s *State) ChangesSince(revision tables.Revision) ([]*rpc.Item, bool) {
	return s.configuration.changesSince(uint64(revision))
}

// Loads returns the weight loads that may be running, sorted by endpoint.
func (s *State) Loads() []*rpc.Load { return s.leases.sortedLoads() }

// ClaimCount returns the number of retained claims.
func (s *State) ClaimCount() int { return len(s.claims.rows) }

// Snapshot encodes the state. Equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) { return EncodeSnapshot(s.TakeSnapshot()) }

// EncodeSnapshot encodes the result of TakeSnapshot deterministically.
func EncodeSnapshot(snapshot *rpc.Snapshot) ([]byte, error) {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	return encoded, trace.Wrap(err)
}

// TakeSnapshot returns a copy of the state. The copy shares only immutable
// values with the state, so it can be encoded while further commands are
// applied.
func (s *State) TakeSnapshot() *rpc.Snapshot {
	snapshot := &rpc.Snapshot{
		Version:  snapshotVersion,
		Now:      int64(s.now),
		Group:    s.group,
		Founders: s.founders,
	}
	s.configuration.save(snapshot)
	s.claims.save(snapshot)
	s.leases.save(snapshot)
	snapshot.Documents = s.documents.sorted()
	snapshot.CachePool = s.documents.pool.save()
	return snapshot
}

// Restore replaces the state by an encoded snapshot. If it returns an error,
// the state is unchanged.
func (s *State) Restore(encoded []byte) error {
	snapshot, err := decodeSnapshot(encoded)
	if err != nil {
		return trace.Wrap(err)
	}
	fresh := New(s.limits)
	fresh.group = snapshot.GetGroup()
	fresh.founders = snapshot.GetFounders()
	fresh.now = time.Duration(snapshot.GetNow())
	fresh.configuration.restore(snapshot)
	fresh.claims.restore(snapshot)
	fresh.leases.restore(snapshot)
	fresh.documents.restore(snapshot)
	*s = *fresh
	return nil
}

func decodeSnapshot(encoded []byte) (*rpc.Snapshot, error) {
	snapshot := &rpc.Snapshot{}
	if err := proto.Unmarshal(encoded, snapshot); err != nil {
		return nil, &InvalidSnapshotError{Cause: err}
	}
	if snapshot.GetVersion() != snapshotVersion {
		return nil, &InvalidSnapshotError{Version: snapshot.GetVersion()}
	}
	last := snapshot.GetRevision()
	for i, revision := range snapshot.GetHistory() {
		if revision.GetNumber() != last-uint64(len(snapshot.GetHistory())-1-i) {
			return nil, &InvalidSnapshotError{Version: snapshotVersion, Cause: &HistoryGapError{Revision: revision.GetNumber()}}
		}
	}
	return snapshot, nil
}

// HistoryGapError reports that the revisions in a snapshot's history are not
// consecutive.
type HistoryGapError struct{ Revision uint64 }

// Error names the first revision that is out of sequence.
func (e *HistoryGapError) Error() string {
	return fmt.Sprintf("revision %d is out of place in the history", e.Revision)
}

// InvalidSnapshotError reports a snapshot that cannot be decoded, or that has a
// format version unknown to this program.
type InvalidSnapshotError struct {
	// Version is the format version of the snapshot. Cause is the decoding failure,
	// nil if the version is unknown.
	Version uint32
	Cause   error
}

// Error describes the decoding failure or the version mismatch.
func (e *InvalidSnapshotError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("snapshot cannot be read: %v", e.Cause)
	}
	return fmt.Sprintf("snapshot has version %d, this version reads %d", e.Version, snapshotVersion)
}

// Unwrap returns the decoding failure, nil for a version mismatch.
func (e *InvalidSnapshotError) Unwrap() error { return e.Cause }

func done() *rpc.Result {
	return &rpc.Result{Answer: &rpc.Result_Done{Done: &rpc.Done{}}}
}

func refused(reason rpc.RefusalReason) *rpc.Result {
	return refusedWithRetry(reason, 0)
}

func refusedWithRetry(reason rpc.RefusalReason, retryAfter time.Duration) *rpc.Result {
	refusal := &rpc.Refusal{Reason: reason, RetryAfterNanos: int64(retryAfter)}
	return &rpc.Result{Answer: &rpc.Result_Refusal{Refusal: refusal}}
}
