package state

import (
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/carawaystile/carawaystile/rpc"
)

// RecoveryOptions says how a state is taken over into a new group after the old one
// was lost. What the old group decided after the backup is not known.
type RecoveryOptions struct {
	Group    uint64
	Founders []*rpc.Founder
	// MinRevision is the highest revision that any instance has in force.
	// The restored configuration gets a higher number, or instances that have
	// newer ones would never take it, and two contents would share a number.
	MinRevision uint64
	// UnknownKeyHold is how long keys that the backup does not know are refused.
	// Their work may have run after the backup was taken.
	UnknownKeyHold time.Duration
	// Wall is the time of the restore, in Unix nanoseconds.
	Wall int64
}

// recoveryOperator is who the history names for a restored revision.
const recoveryOperator = "restore"

// Recover returns the snapshot that the new group starts from.
func Recover(encoded []byte, r RecoveryOptions) ([]byte, error) {
	snapshot, err := decodeSnapshot(encoded)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	snapshot.Group, snapshot.Founders = r.Group, r.Founders
	snapshot.Revision = max(snapshot.GetRevision(), r.MinRevision) + 1
	snapshot.History = []*rpc.Revision{{
		Number:   snapshot.GetRevision(),
		Operator: recoveryOperator,
		Wall:     r.Wall,
	}}
	now := time.Duration(snapshot.GetNow())
	snapshot.ClaimsHeldUntil = int64(now + r.UnknownKeyHold)
	for _, row := range snapshot.GetClaims() {
		// It may have been dispatched after the backup.
		if row.GetStage() == rpc.ClaimStage_STAGE_CLAIMED {
			row.Stage = rpc.ClaimStage_STAGE_DISPATCHED
			row.LostAt = int64(now)
			row.Expires = int64(now + DefaultLimits().ClaimRetention)
		}
	}
	for _, row := range snapshot.GetLeases() {
		row.Expires = int64(now + maxLease)
	}
	recovered, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	return recovered, trace.Wrap(err)
}
