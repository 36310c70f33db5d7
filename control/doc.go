// Package control is the replicated control plane: the configuration, claims of
// idempotency keys and leases, kept by a Raft group of control instances. Its
// packages are:
//
//   - state: the replicated state machine, deterministic and without I/O;
//   - server: a replica of the control group, which applies a Raft log to the state;
//   - configuration: the declarations as a set of items, with diffs and digests;
//   - follower: replication of the configuration to every instance;
//   - client: claims and leases for users of the control state;
//   - operator: the RPC service of the operators' command;
//   - orders: orders to endpoints under a lease;
//   - transport: RPC over HTTP between instances.
//
// The package itself holds only integration tests and benchmarks of these packages.
package control
