package engine

import (
	"context"
	"net/netip"

	"github.com/carawaystile/carawaystile/tables"
)

// PathPlatform is the path of the platform's list of instances.
const PathPlatform = "/v1/instances"

// PlatformState is the state of an instance in the platform's list.
type PlatformState string

// The states of an instance.
const (
	PlatformLive    PlatformState = "live"
	PlatformLeaving PlatformState = "leaving"
)

// PlatformInstance is one entry of the platform's list.
type PlatformInstance struct {
	ID    tables.EndpointID `json:"id"`
	State PlatformState     `json:"state"`
	// Life is a generation number that grows each time the instance joins again.
	Life uint64 `json:"life"`
	// Membership is the address at which an instance of the system receives the datagrams
	// of failure detection; it is omitted for endpoints.
	Membership netip.AddrPort `json:"membership,omitzero"`
}

// PlatformList is the platform's list of instances. It lags behind their actual state.
type PlatformList struct {
	Instances []PlatformInstance `json:"instances"`
}

// PlatformList reads the platform's list of instances.
func (c *HTTPClient) PlatformList(ctx context.Context, at netip.AddrPort) (PlatformList, error) {
	var list PlatformList
	err := c.getJSON(ctx, c.options.ResponseTimeout, endpointURL(at, PathPlatform), &list)
	return list, err
}
