// Package dispatch is the load balancer of a forwarding deployment: it decides on which
// endpoint each request runs, and whether a failed request may be retried. It scores all
// endpoints of a service by a cost in milliseconds, made of expected latency, prompt
// cache locality and recent failures, and picks the cheapest. It combines a soft-state
// directory of cached prompt parts, rendezvous hashing for parts that no endpoint holds,
// passive health checking, sliding-window retry budgets and load reports exchanged among
// instances.
//
// A prompt part is a span of a prompt that a caller names and that engines cache under
// that name (a part of the KV cache). Parts of one prompt are ordered, outermost first,
// and a part is usable only behind the parts before it.
//
// The package does no I/O and is deterministic: calls carry readings of one monotonic
// clock, and the same calls give the same placements. A Dispatcher is not safe for
// concurrent use.
//
// Package router makes the same decision for the product's own interface. There prompts
// arrive as text, are cut into chunks of thousands of tokens and may wait for seconds.
// Here callers name parts of any size and expect delays of tenths of a second, and
// endpoints report their cache contents by the same names. The trade-offs are recorded in
// docs/design/platform.md and docs/design/worth.md.
package dispatch
