// Package store keeps a process's files under its data folder. Nothing is
// acknowledged before it is synced: the file, and the directory that names it.
//
// A Folder is locked by one process. It holds
//
//   - small files that are replaced as a whole (WriteAtomic, ReadAtomic), for
//     example the last accepted configuration;
//   - the replicated log of a replica (CreateLog, OpenLog): numbered segment
//     files of checksummed frames, and one snapshot.
//
// After a crash the unfinished last frame of the log is cut off: it was never
// acknowledged. Anything else that doesn't match its checksum is damage. It is
// reported as *Damaged and nothing is repaired, since a replica that goes on
// without what it has acknowledged could let the group lose it.
package store
