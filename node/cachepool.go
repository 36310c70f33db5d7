package node

import (
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/rpc"
)

// cacheOrganisations lists the organisations of a configuration by whether they share cached prompts;
// nil if the configuration cannot be parsed.
func (n *Node) cacheOrganisations(configuration []byte) *rpc.CacheOrganisations {
	table, err := n.options.Platform.ParseConfiguration(configuration)
	if err != nil {
		events.ConfigurationUnreadable.Log(n.log, zap.Error(err))
		return nil
	}
	all := &rpc.CacheOrganisations{}
	for _, o := range table.Organisations {
		hash := xxhash.Sum64String(string(o.ID))
		if o.Isolated {
			all.Isolated = append(all.Isolated, hash)
		} else {
			all.Sharing = append(all.Sharing, hash)
		}
	}
	return all
}
