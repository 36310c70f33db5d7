package node

import (
	"context"
	"net/netip"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/streamorigin"
	"github.com/carawaystile/carawaystile/systems/membership"
)

// newStreamOrigins creates the directory of the origins of streams.
func (n *Node) newStreamOrigins() *streamorigin.Directory {
	n.streamOrigins = streamorigin.NewDirectory(streamorigin.Options{
		Self: n.options.Settings.Instance, EntriesByZone: n.entriesByZone, Now: n.now,
		Send: n.sendStreamOrigins, Ask: n.askStreamOrigin,
	})
	return n.streamOrigins
}

func (n *Node) sendStreamOrigins(to netip.AddrPort, message *rpc.StreamOrigins) {
	if joined := n.gossip.Load(); joined != nil {
		joined.SendStreamOrigins(to, message)
	}
}

func (n *Node) askStreamOrigin(ctx context.Context, instance membership.EntryInstance, request string) (string, bool, error) {
	client := rpc.NewStreamsProtobufClient("http://"+instance.Control.String(), n.client)
	answer, err := client.FindOrigin(ctx, &rpc.FindOriginRequest{Request: request})
	return answer.GetSoftware(), answer.GetKnown(), err
}

// receiveStreamOrigins handles origins that another instance has sent.
func (n *Node) receiveStreamOrigins(message *rpc.StreamOrigins) {
	if n.streamOrigins != nil {
		n.streamOrigins.Receive(message)
	}
}

// streamsServer implements rpc.Streams.
type streamsServer struct{ directory *streamorigin.Directory }

// FindOrigin returns the origin of a stream if this instance knows it.
func (s streamsServer) FindOrigin(_ context.Context, request *rpc.FindOriginRequest) (*rpc.FindOriginAnswer, error) {
	software, known := s.directory.FindLocally(request.GetRequest())
	return &rpc.FindOriginAnswer{Known: known, Software: software}, nil
}
