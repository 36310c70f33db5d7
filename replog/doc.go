// Package replog is a replicated log: a group of replicas agrees on one
// sequence of entries as long as a quorum (a majority of the voters) can talk
// to each other. It follows the Raft algorithm, with pre-vote, check-quorum,
// learners, one membership change at a time, snapshots and quorum reads.
//
// The package is a pure state machine. It has no goroutine, clock, socket or
// file, and the same calls give the same results. The owner of a Node
//
//  1. passes in messages (Step), the passing of time (Tick), proposals
//     (Propose, ProposeChange) and reads (ReadIndex);
//  2. takes out what has to be done (Ready): send Messages, save HardState,
//     Entries and Snapshot, apply Committed, answer ReadStates;
//  3. calls Advance once the save is durable.
//
// A Node is used by one goroutine at a time.
//
// # What may leave when
//
// Messages of a Ready may be sent at any time after Ready returned, also
// before its save is durable. The Node itself holds every message that promises
// something about the disk (a granted vote, an acknowledged entry, a request
// for votes) until Advance reports the save that it depends on, and then puts
// it into a later Ready. At most one save is outstanding: while it runs, the
// owner may go on to call Step, Tick and Ready, and a Ready then holds no new
// writes. Entries that arrive in the meantime share the next save, which is how
// many proposals share one sync.
//
// # Invariants
//
//   - At most one leader is elected in a term: a replica grants one vote a term,
//     and the grant leaves only once it is durable.
//   - If two logs hold an entry with the same index and term, they are equal up
//     to that index.
//   - A committed entry is in the log of every later leader.
//   - The voters before and after one membership change share a replica in any
//     two quorums, since a change adds or removes one voter and the next change
//     is refused until the first is committed.
//   - A replica without any state never votes and takes its first entries only
//     as a learner, so that a voter which lost its disk can't vote on what it
//     has forgotten. It has to join again under a new ReplicaID.
package replog
