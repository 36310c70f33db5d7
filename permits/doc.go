// Package permits limits the concurrent attempts at an endpoint over all instances together. It is
// a distributed semaphore: the owner of an endpoint, by rendezvous hashing among all entry
// instances, grants a permit for each attempt while the endpoint has room.
//
// Endpoints need it that fail if they have to reject many requests. Load reports alone do not
// prevent rejections: when a slot becomes free, each instance with a waiting request takes it to
// be free for itself.
//
// Messages are datagrams, which may be lost. A permit whose release is lost expires with the
// attempt's deadline. An owner that does not answer grants no permits to that instance; only after
// a longer silence does the next instance by the hash decide in its place. While two instances may
// grant permits, each has half of the slots and goes by the load that instances report too.
package permits
