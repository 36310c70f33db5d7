// Package keepalive opens TCP connections and listeners that detect a dead peer: its machine
// has lost power, or is partitioned away. Without it a half-open connection blocks its
// reader for good and its writer for a quarter of an hour.
//
// The keep-alive probes and TCP_USER_TIMEOUT are set together. Where a TCP_USER_TIMEOUT is set,
// Linux ends the probes by it, whatever their count; the two must agree to mean anything.
package keepalive

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// Config is how a connection detects a dead peer.
type Config struct {
	// Idle is the time without data until the first probe, Interval that between probes, and
	// Probes the number of unanswered ones after which the connection ends.
	Idle, Interval time.Duration
	Probes         int
}

var (
	// Peers is for connections to endpoints and between instances. Other endpoints and instances
	// can take over, so waiting costs more than a connection. A sound peer may be silent for a
	// second or two.
	Peers = Config{Idle: time.Second, Interval: time.Second, Probes: 3}
	// Clients is for connections of clients, which may come back from a partition and still want
	// their response.
	Clients = Config{Idle: 10 * time.Second, Interval: 5 * time.Second, Probes: 4}
)

// Timeout returns after which time the connection ends: without an answer to probes, or without
// an acknowledgement of sent data.
func (c Config) Timeout() time.Duration { return c.Idle + time.Duration(c.Probes)*c.Interval }

// config returns the probes in the form of package net.
func (c Config) config() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: c.Idle, Interval: c.Interval, Count: c.Probes}
}

// Dialer returns a dialer for connections from a local IP address; an invalid one leaves the
// choice to the kernel.
func (c Config) Dialer(source netip.Addr) *net.Dialer {
	var local net.Addr
	if source.IsValid() {
		local = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	return &net.Dialer{LocalAddr: local, KeepAliveConfig: c.config(), Control: c.control}
}

// Listen opens a listener, the connections of which have the options too.
func (c Config) Listen(at netip.AddrPort) (net.Listener, error) {
	listen := net.ListenConfig{KeepAliveConfig: c.config(), Control: c.control}
	return listen.Listen(context.Background(), "tcp", at.String())
}
