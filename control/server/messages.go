package server

import (
	"github.com/carawaystile/carawaystile/replog"
	"github.com/carawaystile/carawaystile/rpc"
)

// encodeMessage converts a Raft message into its wire format.
func encodeMessage(m replog.Message) *rpc.LogMessage {
	out := &rpc.LogMessage{
		Type:        uint32(m.Type),
		Group:       m.Group,
		From:        uint64(m.From),
		To:          uint64(m.To),
		Term:        m.Term,
		Index:       m.Index,
		LogTerm:     m.LogTerm,
		Commit:      m.Commit,
		Reject:      m.Reject,
		RejectIndex: m.RejectIndex,
		HintIndex:   m.HintIndex,
		HintTerm:    m.HintTerm,
		Round:       m.ReadRound,
		Force:       m.LeadershipTransfer,
		ToLearner:   m.ToLearner,
		Fresh:       m.LostState,
	}
	for _, e := range m.Entries {
		out.Entries = append(out.Entries, &rpc.LogEntry{
			Term: e.Term, Index: e.Index, Kind: uint32(e.Kind), Data: e.Data,
		})
	}
	if m.Snapshot != nil {
		out.Snapshot = &rpc.LogSnapshot{
			Index:   m.Snapshot.Index,
			Term:    m.Snapshot.Term,
			Members: replog.EncodeMembers(m.Snapshot.Members),
			Data:    m.Snapshot.Data,
		}
	}
	return out
}

// decodeMessage converts a Raft message from its wire format. It fails with
// *replog.DecodeError.
func decodeMessage(in *rpc.LogMessage) (replog.Message, error) {
	m := replog.Message{
		Type:               replog.MessageType(in.GetType()),
		Group:              in.GetGroup(),
		From:               replog.ReplicaID(in.GetFrom()),
		To:                 replog.ReplicaID(in.GetTo()),
		Term:               in.GetTerm(),
		Index:              in.GetIndex(),
		LogTerm:            in.GetLogTerm(),
		Commit:             in.GetCommit(),
		Reject:             in.GetReject(),
		RejectIndex:        in.GetRejectIndex(),
		HintIndex:          in.GetHintIndex(),
		HintTerm:           in.GetHintTerm(),
		ReadRound:          in.GetRound(),
		LeadershipTransfer: in.GetForce(),
		ToLearner:          in.GetToLearner(),
		LostState:          in.GetFresh(),
	}
	for _, e := range in.GetEntries() {
		m.Entries = append(m.Entries, replog.Entry{
			Term: e.GetTerm(), Index: e.GetIndex(), Kind: replog.EntryKind(e.GetKind()), Data: e.GetData(),
		})
	}
	if in.GetSnapshot() == nil {
		return m, nil
	}
	members, err := replog.DecodeMembers(in.GetSnapshot().GetMembers())
	if err != nil {
		return m, err
	}
	m.Snapshot = &replog.Snapshot{
		Index:   in.GetSnapshot().GetIndex(),
		Term:    in.GetSnapshot().GetTerm(),
		Members: members,
		Data:    in.GetSnapshot().GetData(),
	}
	return m, nil
}
