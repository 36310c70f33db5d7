package node

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/control/deployment"
	"github.com/carawaystile/carawaystile/control/state"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/rpc"
)

const (
	// maxLeaderListAge is the age of the leader's list from which an instance that mirrors the
	// leader's endpoints reads the platform's list itself. It exceeds the time for an interval
	// between two reads, a slow read and a long poll of the leader.
	maxLeaderListAge = 3 * time.Second
	// listRelayTimeout bounds one call for the list that another control instance has read.
	listRelayTimeout = 400 * time.Millisecond
)

// relayedList is the list as another control instance has read it.
type relayedList struct {
	source    string
	endpoints []fleet.Endpoint
	readAt    time.Duration
}

// relayList uses the newest list that another control instance has read, unless the known one is
// as new. The platform's list may be out of reach for this instance only.
func (n *Node) relayList(ctx context.Context, lastSource string) (source string) {
	var newest relayedList
	var errs []error
	for _, other := range n.otherReplicas() {
		list, err := n.fetchList(ctx, other)
		if err != nil {
			errs = append(errs, err)
		} else if list.readAt > newest.readAt {
			newest = list
		}
	}
	if newest.source != lastSource && ctx.Err() == nil {
		events.PlatformListRelayed.Log(n.log, zap.String("source", newest.source), zap.Error(errors.Join(errs...)))
	}
	if newest.readAt > time.Duration(n.listReadAt.Load()) {
		n.applyList(newest.endpoints, newest.readAt)
	}
	return newest.source
}

// otherReplicas returns the other members of the control group.
func (n *Node) otherReplicas() []deployment.Source {
	var sources []deployment.Source
	for _, m := range n.replica.Status().Members {
		if m.Address != n.options.Settings.Advertise.Instances.String() {
			sources = append(sources, n.controlClients.source(m.Address, n.client))
		}
	}
	return sources
}

// fetchList returns the list that another control instance has read, without endpoints if it has
// none.
func (n *Node) fetchList(ctx context.Context, from deployment.Source) (relayedList, error) {
	bounded, cancel := context.WithTimeout(ctx, listRelayTimeout)
	defer cancel()
	documents := map[string]uint64{}
	n.replica.View(func(s *state.State) {
		for _, d := range s.Documents() {
			documents[d.GetName()] = d.GetNumber()
		}
	})
	asked := n.now()
	answer, err := from.Follow(bounded, &rpc.FollowRequest{Instance: string(n.options.Settings.Instance), Documents: documents})
	if err != nil || answer.ListAgeNanos == nil {
		return relayedList{}, err
	}
	replica := fleet.NewReplica()
	err = replica.Apply(answer.GetFleet())
	endpoints := slices.DeleteFunc(slices.Collect(maps.Values(replica.Endpoints())), func(e fleet.Endpoint) bool { return e.IsKVStore })
	return relayedList{source: from.Name, endpoints: endpoints, readAt: asked - time.Duration(answer.GetListAgeNanos())}, err
}
