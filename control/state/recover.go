package state

import (
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/carawaystile/carawaystile/rpc"
)

// RecoveryOptions sets how a new group starts from a backup after the old group
// was lost. The decisions of the old group after the backup are not known.
type RecoveryOptions struct {
	Group    uint64
	Founders []*rpc.Founder
	// MinRevision is the highest revision that any instance has in force. The
	// restored configuration gets a higher number. Otherwise instances with
	// newer revisions would never take it, and two contents would share a
	// number.
	MinRevision uint64
	// UnknownKeyHold is how long claims on keys that are not in the backup are
	// refused. Their work may have run after the backup was taken.
	UnknownKeyHold time.Duration
	// Wall is the time of the restore, in Unix nanoseconds.
	Wall int64
}

// recoveryOperator is the operator that the history names for a restored
// revision.
const recoveryOperator = "restore"

// Recover converts the snapshot of a backup into the initial snapshot of the
// new group. Claims that were not dispatched at the time of the backup become
// dispatched with an unknown outcome, and every lease is held for its longest
// duration.
func Recover(encoded []byte, r RecoveryOptions) ([]byte, error) {
	snapshot, err := decodeSnapshot(encoded)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	snapshot.Group, snapshot.Founders = r.Group, r.Founders
	startPools(snapshot, r.Group)
	snapshot.Revision = max(snapshot.GetRevision(), r.MinRevision) + 1
	snapshot.History = []*rpc.Revision{{
		Number:   snapshot.GetRevision(),
		Operator: recoveryOperator,
		Wall:     r.Wall,
	}}
	now := time.Duration(snapshot.GetNow())
	snapshot.ClaimsHeldUntil = int64(now + r.UnknownKeyHold)
	for _, row := range snapshot.GetClaims() {
		// The claim may have been dispatched after the backup.
		if row.GetStage() == rpc.ClaimStage_STAGE_CLAIMED {
			row.Stage = rpc.ClaimStage_STAGE_DISPATCHED
			row.LostAt = int64(now)
			row.Expires = int64(now + DefaultLimits().ClaimRetention)
		}
	}
	for _, row := range snapshot.GetLeases() {
		row.Expires = int64(now + maxLeaseDuration)
	}
	recovered, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	return recovered, trace.Wrap(err)
}
