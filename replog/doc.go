// Package replog is a replicated log based on the Raft consensus algorithm. A
// group of replicas agrees on one sequence of entries as long as a quorum (a
// majority of the voters) can communicate. Besides the algorithm of the paper,
// the package implements pre-vote, check-quorum, learners, single-server
// membership changes, snapshots and linearizable reads through ReadIndex.
//
// The package is a pure state machine. It has no goroutine, clock, socket or
// file, and the same calls always give the same results. The application that
// owns a Node
//
//  1. passes in messages (Step), the passing of time (Tick), proposals
//     (Propose, ProposeChange) and reads (ReadIndex);
//  2. takes the resulting work out of Ready: it sends Messages, saves
//     HardState, Entries and Snapshot, applies Committed and answers ReadStates;
//  3. calls Advance once the save is durable.
//
// A Node is not safe for concurrent use.
//
// # Order of sending and saving
//
// The application may send the Messages of a Ready as soon as Ready has
// returned, also before the save of that Ready is durable. The Node itself
// defers every message whose meaning depends on durable state (a granted vote,
// an acknowledged entry, a request for votes) until Advance reports the save
// that it depends on, and puts the message into a later Ready. At most one save
// is outstanding. While it runs, the application may go on calling Step, Tick
// and Ready; a Ready then contains no new writes. Entries that arrive in the
// meantime share the next save, so that many proposals share one sync (group
// commit).
//
// # Invariants
//
//   - Election safety: at most one leader is elected in a term. A replica grants
//     one vote per term, and the grant is sent only once it is durable.
//   - Log matching: if two logs hold an entry with the same index and term, the
//     logs are identical up to that index.
//   - Leader completeness: a committed entry is in the log of every later leader.
//   - Quorum overlap: any quorum before a membership change and any quorum after
//     it share a replica, because a change adds or removes one voter and the next
//     change is rejected until the first one is committed.
//   - A replica without any state never votes and accepts its first entries only
//     as a learner, so that a voter that lost its disk can't vote without the
//     entries it has forgotten. It has to join again under a new ReplicaID.
package replog
