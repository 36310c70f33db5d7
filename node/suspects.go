package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/internal/wait"
	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/peers"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/systems/quarantine"
)

const (
	// convictionGossipInterval is the interval at which an instance sends its convictions to
	// convictionGossipFanout others. Reports of crashes reach all instances at once; this repairs
	// what instances have missed that have just started or were partitioned.
	convictionGossipInterval = time.Second
	convictionGossipFanout   = 2
	// maxGossipedConvictions bounds the convictions of one message.
	maxGossipedConvictions = 64
	// suspectNotifyTimeout bounds a report to one instance, including retries.
	suspectNotifyTimeout = 2500 * time.Millisecond
)

// broadcastSuspects reports the requests that were running when an endpoint crashed, or what has
// cleared a part of prompts, to all other entry instances.
func (n *Node) broadcastSuspects(suspects []quarantine.Suspect) {
	n.suspects.Broadcast(n.entryPeerAddresses(), suspects)
}

// sendSuspects reports suspects to another instance, and logs a failure.
func (n *Node) sendSuspects(at netip.AddrPort, report *rpc.SuspectReport) {
	ctx, cancel := context.WithTimeout(n.lifetime, suspectNotifyTimeout)
	defer cancel()
	if err := peers.SendReport(ctx, rpc.NewPeerProtobufClient("http://"+at.String(), n.client), report); err != nil {
		events.SuspectReportFailed.Log(n.log, zap.Stringer("instance_address", at), zap.Error(err))
	}
}

// suspectsDropped logs that suspects were not reported to an instance.
func (n *Node) suspectsDropped(at netip.AddrPort, err *peers.QueueFullError) {
	events.SuspectReportFailed.Log(n.log, zap.Stringer("instance_address", at), zap.Error(err))
}

// peerService serves the reports of other instances.
func (n *Node) peerService() peers.Service {
	return peers.Service{
		Receive:     n.entry.MergeSuspects,
		Convictions: func() []quarantine.Suspect { return n.entry.ConvictionReports(maxGossipedConvictions) },
	}
}

const (
	// convictionFetchAttempts is how often an instance that has started asks another one for its
	// convictions until one answers, and convictionFetchInterval the time between. Right after a
	// start the others are unknown or have just started too.
	convictionFetchAttempts = 50
	convictionFetchInterval = 50 * time.Millisecond
)

// fetchConvictions fetches the convictions in force from another instance.
func (n *Node) fetchConvictions() {
	for range convictionFetchAttempts {
		for _, at := range pickAddresses(n.entryPeerAddresses(), 1) {
			convictions, err := peers.FetchConvictions(n.lifetime, rpc.NewPeerProtobufClient("http://"+at.String(), n.client))
			if err == nil {
				n.entry.MergeSuspects(convictions)
				return
			}
			events.ConvictionsNotFetched.Log(n.log, zap.Stringer("instance_address", at), zap.Error(err))
		}
		if wait.For(n.lifetime, convictionFetchInterval) != nil {
			return
		}
	}
}

// gossipConvictions sends the convictions in force to some other entry instances, until the instance
// stops.
func (n *Node) gossipConvictions() {
	for wait.For(n.lifetime, convictionGossipInterval) == nil {
		reports := n.entry.ConvictionReports(maxGossipedConvictions)
		if len(reports) == 0 {
			continue
		}
		message := peers.EncodeReport(reports)
		for _, at := range pickAddresses(n.entryPeerAddresses(), convictionGossipFanout) {
			n.background.Go(func() { n.sendSuspects(at, message) })
		}
	}
}

// pickAddresses returns count random addresses, or all if there are fewer.
func pickAddresses(all []netip.AddrPort, count int) []netip.AddrPort {
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(count, len(all))]
}

// QuarantinePath is where forwarding instances serve the convicted parts of prompts, at their
// address for metrics.
const QuarantinePath = "/quarantine"

// handleQuarantine adds the handlers of QuarantinePath.
func (n *Node) handleQuarantine(mux *http.ServeMux) {
	mux.HandleFunc("GET "+QuarantinePath, n.listConvictions)
	mux.HandleFunc("DELETE "+QuarantinePath+"/{part}", n.releasePart)
}

// ConvictedPart is a part of prompts that is convicted of crashing endpoints, as an instance serves
// it.
type ConvictedPart struct {
	Part string `json:"part"`
	// Endpoints are those that crashed, as far as the instance knows.
	Endpoints []string `json:"endpoints"`
	// Convictions counts those in a row.
	Convictions int `json:"convictions"`
	// ReleaseSeconds is the time until the instance runs requests with the part again.
	ReleaseSeconds float64 `json:"release_seconds"`
}

// listConvictions writes the convicted parts as JSON.
func (n *Node) listConvictions(w http.ResponseWriter, _ *http.Request) {
	list := []ConvictedPart{}
	for _, c := range n.entry.Convictions() {
		one := ConvictedPart{Part: parts.ID(c.Part).String(), Convictions: c.Count, ReleaseSeconds: c.ReleaseIn.Seconds()}
		for _, id := range c.Endpoints {
			one.Endpoints = append(one.Endpoints, string(id))
		}
		list = append(list, one)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

// releasePart ends the conviction of a part at all instances.
func (n *Node) releasePart(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseUint(r.PathValue("part"), 16, 64)
	switch {
	case err != nil:
		http.Error(w, "a part is named by its hexadecimal ID", http.StatusBadRequest)
	case !n.entry.ReleasePart(parts.ID(id)):
		http.Error(w, "this part is not convicted", http.StatusNotFound)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}
