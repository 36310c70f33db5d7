// Package store keeps the persistent state of a process in its data directory:
// small files that are replaced atomically, and the write-ahead log of a
// replica of the replicated log. A write is acknowledged only after both the
// file and the directory that names it are synced.
//
// A DataDir is locked by one process. It contains
//
//   - small files that are replaced as a whole (WriteAtomic, ReadAtomic), for
//     example the last accepted configuration;
//   - the write-ahead log of a replica (CreateLog, OpenLog): numbered segment
//     files of checksummed frames, and one snapshot.
//
// An unfinished last frame is truncated after a crash, since it was never
// acknowledged. Any other content that doesn't match its checksum is
// corruption. It is reported as *CorruptionError and never repaired: a replica
// that continued without entries that it has acknowledged could let the group
// lose them.
package store
