// Package permits limits the concurrent attempts at an endpoint over all instances together. It is
// a distributed semaphore: the owner of an endpoint, by rendezvous hashing among all entry
// instances, grants a permit for each attempt while the endpoint has room.
//
// Endpoints need it that fail if they have to reject many requests. Load reports alone do not
// prevent rejections: several instances with waiting requests claim the same free slot.
//
// Messages are datagrams, which may be lost. A permit whose release is lost expires with the
// attempt's deadline. An owner that does not answer grants no permits to that instance; only after
// a longer outage does the next instance by the hash decide instead. While two instances may grant
// permits, each has half of the slots and also counts the load that instances report.
package permits
