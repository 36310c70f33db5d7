package gossip

import "github.com/carawaystile/carawaystile/systems/membership"

// SizesPath is where forwarding instances serve Sizes as JSON, at their address for metrics.
const SizesPath = "/instances"

// InstanceSize is the size and load of one instance, as operators see them in JSON.
type InstanceSize struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	State    string `json:"state"`
	// Size is the weight of the instance relative to others. In forwarding deployments it is in
	// percent of a processor.
	Size int `json:"size"`
	// Loaded is set while the instance is near the limit of its processor, link or memory.
	Loaded bool `json:"loaded"`
}

// Sizes returns the sizes and loads of all known members, sorted by name. It is not nil.
func (g *Gossip) Sizes() []InstanceSize {
	members := g.Members()
	sizes := make([]InstanceSize, 0, len(members))
	for i := range members {
		sizes = append(sizes, sizeOf(&members[i]))
	}
	return sizes
}

func sizeOf(m *membership.Member) InstanceSize {
	return InstanceSize{Instance: string(m.Instance), Zone: string(m.Zone), State: m.State.String(), Size: m.Size, Loaded: m.Loaded}
}
