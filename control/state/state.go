// Package state is the replicated state machine of the control instances: the
// configuration, the claims for work that runs at most once, the leases for
// orders to endpoints, and the documents of operators.
//
// It is pure. Equal commands in equal order give equal states and results at
// every replica, so nothing here reads a clock, a random source or the order of
// a map. It is not safe for concurrent use.
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

// snapshotVersion is written into snapshots; Restore refuses any other.
const snapshotVersion = 1

// State is the replicated state.
//
// Its time is the log time: each command carries a stamp that the proposing
// leader took from its own monotonic clock, counted on from the newest stamp in
// its log when it was elected. Log time therefore never runs faster than the
// fastest leader's clock, also across changes of leader, and a duration that
// has passed in log time has passed everywhere, but for the drift of clocks.
type State struct {
	limits        Limits
	group         uint64
	founders      []*rpc.Founder
	now           time.Duration
	configuration configurations
	claims        claims
	leases        leases
	documents     documents
}

// New returns an empty state. All replicas must be given equal limits.
func New(limits Limits) *State {
	return &State{
		limits:        limits,
		configuration: newConfigurations(limits),
		claims:        newClaims(limits),
		leases:        newLeases(),
		documents:     newDocuments(),
	}
}

// Bootstrap names the group and the replicas it starts with. It is called once, on
// an empty state, before the first snapshot is taken of it.
func (s *State) Bootstrap(group uint64, founders []*rpc.Founder) {
	s.group, s.founders = group, founders
}

// Group returns what Found was given.
func (s *State) Group() (uint64, []*rpc.Founder) { return s.group, s.founders }

// Now returns the log time of the newest command.
func (s *State) Now() time.Duration { return s.now }

// Apply runs one committed log entry. An entry that cannot be read changes
// nothing, at every replica alike.
func (s *State) Apply(index uint64, entry []byte) (*rpc.Command, *rpc.Result) {
	command := &rpc.Command{}
	if err := proto.Unmarshal(entry, command); err != nil {
		return command, refused(rpc.RefusalReason_REFUSED_MALFORMED)
	}
	return command, s.Execute(index, command)
}

// Execute is Apply for a decoded command. The index must grow from call to
// call; fencing numbers are taken from it.
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
		return s.leases.startLoad(s.now, s.configuration.content.WeightLoads(), action.StartLoad)
	case *rpc.Command_EndLoad:
		return s.leases.endLoad(s.now, action.EndLoad)
	case *rpc.Command_AnnounceOrders:
		return s.leases.announce(s.now, action.AnnounceOrders)
	case *rpc.Command_PutDocument:
		return s.documents.put(action.PutDocument)
	case *rpc.Command_PassTime:
		return done()
	default:
		return refused(rpc.RefusalReason_REFUSED_MALFORMED)
	}
}

// Revision returns the number of the configuration in force, zero for none.
func (s *State) Revision() tables.Revision {
	return tables.Revision(s.configuration.revision)
}

// Content returns the configuration in force. The caller must not change it.
func (s *State) Content() *configuration.Content { return s.configuration.content }

// History returns the kept revisions, oldest first. The caller must not change
// them.
func (s *State) History() []*rpc.Revision { return s.configuration.history }

// ChangesSince returns the items that bring a copy at the given revision up to
// date, and false if the history no longer reaches back to it.
func (s *State) ChangesSince(revision tables.Revision) ([]*rpc.Item, bool) {
	return s.configuration.changesSince(uint64(revision))
}

// Loads returns the weight loads that may be running, by endpoint.
func (s *State) Loads() []*rpc.Load { return s.leases.sortedLoads() }

// ClaimCount returns the number of claims kept.
func (s *State) ClaimCount() int { return len(s.claims.rows) }

// Snapshot encodes the state. Equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) { return EncodeSnapshot(s.TakeSnapshot()) }

// EncodeSnapshot encodes what Save returned.
func EncodeSnapshot(snapshot *rpc.Snapshot) ([]byte, error) {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	return encoded, trace.Wrap(err)
}

// TakeSnapshot returns a copy of the state. It shares only what is never modified with
// the state, so it may be encoded while the state goes on.
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
	return snapshot
}

// Restore replaces the state by a snapshot. After an error the state is as it
// was.
func (s *State) Restore(encoded []byte) error {
	snapshot, err := decodeSnapshot(encoded)
	if err != nil {
		return trace.Wrap(err)
	}
	fresh := New(s.limits)
	fresh.group = snapshot.GetGroup()
	fresh.founders = snapshot.GetFounders()
	fresh.now = time.Duration(snapshot.GetNow())
	fresh.configuration.load(snapshot)
	fresh.claims.load(snapshot)
	fresh.leases.load(snapshot)
	fresh.documents.load(snapshot)
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

// HistoryGapError means that the revisions of a history do not follow each other.
type HistoryGapError struct{ Revision uint64 }

// Error names the first revision out of place.
func (e *HistoryGapError) Error() string {
	return fmt.Sprintf("revision %d is out of place in the history", e.Revision)
}

// InvalidSnapshotError means that a snapshot cannot be read by this version.
type InvalidSnapshotError struct {
	Version uint32
	Cause   error
}

// Error gives the cause.
func (e *InvalidSnapshotError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("snapshot cannot be read: %v", e.Cause)
	}
	return fmt.Sprintf("snapshot has version %d, this version reads %d", e.Version, snapshotVersion)
}

// Unwrap gives the cause.
func (e *InvalidSnapshotError) Unwrap() error { return e.Cause }

func done() *rpc.Result {
	return &rpc.Result{Answer: &rpc.Result_Done{Done: &rpc.Done{}}}
}

func refused(reason rpc.RefusalReason) *rpc.Result {
	return refusedFor(reason, 0)
}

func refusedFor(reason rpc.RefusalReason, retryAfter time.Duration) *rpc.Result {
	refusal := &rpc.Refusal{Reason: reason, RetryAfterNanos: int64(retryAfter)}
	return &rpc.Result{Answer: &rpc.Result_Refusal{Refusal: refusal}}
}
