package quarantine

// Verdict is the restriction under which a request may run.
type Verdict uint8

// The verdicts, in order of increasing severity.
const (
	// Allow permits every endpoint.
	Allow Verdict = iota
	// AvoidSuspects excludes endpoints that run another suspect.
	AvoidSuspects
	// AvoidSuspectsOwned is AvoidSuspects, restricted to the endpoints that this
	// instance owns, see Detector.SetRank. It applies for Options.OwnershipWindow
	// after an incident. Without it, two instances that retry at the same moment
	// could place two suspects at the same endpoint, and the next crash would not
	// tell which of them is the cause.
	AvoidSuspectsOwned
	// Exclusive requires an endpoint that runs no other request of this instance.
	Exclusive
	// ExclusiveOwned is Exclusive, restricted to the endpoints that this instance
	// owns. Without it, suspects of several instances would meet at the endpoint
	// that has just restarted and is empty.
	ExclusiveOwned
	// Defer postpones the request until its conviction is decided, see SettleDelay.
	Defer
	// Reject refuses the request until its conviction expires.
	Reject
)

// WithoutOwnership returns the verdict that applies when no endpoint satisfies v:
// an instance may own no endpoint that is up, and a request must not wait for one.
// Only AvoidSuspectsOwned is relaxed.
func (v Verdict) WithoutOwnership() Verdict {
	if v == AvoidSuspectsOwned {
		return AvoidSuspects
	}
	return v
}
