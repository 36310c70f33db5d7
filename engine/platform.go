package engine

import (
	"context"
	"net/netip"

	"github.com/carawaystile/carawaystile/tables"
)

// PathPlatform is where the platform serves its list of instances.
const PathPlatform = "/v1/instances"

// PlatformState is what the platform says of an instance.
type PlatformState string

// The states of an instance.
const (
	PlatformLive    PlatformState = "live"
	PlatformLeaving PlatformState = "leaving"
)

// PlatformInstance is one line of the platform's list.
type PlatformInstance struct {
	ID    tables.EndpointID `json:"id"`
	State PlatformState     `json:"state"`
	// Life grows each time the instance joins again.
	Life uint64 `json:"life"`
	// Membership is where an instance of the system takes the datagrams of
	// failure detection; it is left out for endpoints.
	Membership netip.AddrPort `json:"membership,omitzero"`
}

// PlatformList is the platform's list. It lags behind the truth.
type PlatformList struct {
	Instances []PlatformInstance `json:"instances"`
}

// PlatformList reads the platform's list.
func (c *HTTPClient) PlatformList(ctx context.Context, at netip.AddrPort) (PlatformList, error) {
	var list PlatformList
	err := c.fetch(ctx, c.options.ResponseTimeout, endpointURL(at, PathPlatform), &list)
	return list, err
}
