// Package control is the project's own durable state. Its parts are:
//
//   - state: the replicated state machine, pure;
//   - server: a control instance, which runs it over a replicated log;
//   - configuration: declarations as named items, and their differences;
//   - follower: how every instance keeps the configuration in force;
//   - client: claims and leases for those who need the quorum;
//   - operator: the operators' service;
//   - orders: orders to endpoints under a lease;
//   - transport: HTTP between instances.
//
// The package itself only holds the tests and measures of all of them together.
package control
