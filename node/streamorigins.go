package node

import (
	"context"
	"net/netip"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/streamorigin"
	"github.com/carawaystile/carawaystile/systems/membership"
)

// newStreamOrigins creates the directory of the origins of streams.
func (n *Node) newStreamOrigins() *streamorigin.Directory {
	n.streamOrigins = streamorigin.NewDirectory(streamorigin.Options{
		Self: n.options.Settings.Instance, EntriesByZone: n.entriesByZone, Now: n.now,
		Archives: n.streamArchives, Send: n.sendStreamOrigins, Ask: n.askStreamOrigin,
	})
	return n.streamOrigins
}

// originsFile is the name of the file in the data folder that holds the origins of streams.
const originsFile = "streams"

// openStreamArchive opens the archive of the origins of streams. If its file cannot be opened, it
// keeps them in memory only: the instance can still serve control.
func (n *Node) openStreamArchive() {
	file, records, err := n.folder.OpenJournal(originsFile)
	if err != nil {
		events.StreamOriginsNotWritten.Log(n.log, zap.Error(err))
		n.streamArchive = streamorigin.NewArchive(nil, nil, n.now, n.log)
		return
	}
	n.streamArchive = streamorigin.NewArchive(file, records, n.now, n.log)
	n.background.Go(func() {
		n.streamArchive.Run(n.lifetime)
		if err := file.Close(); err != nil {
			events.StreamOriginsNotWritten.Log(n.log, zap.Error(err))
		}
	})
}

// streamArchives returns the live control instances.
func (n *Node) streamArchives() []membership.EntryInstance {
	joined := n.gossip.Load()
	if joined == nil {
		return nil
	}
	var all []membership.EntryInstance
	for _, m := range joined.Members() {
		if m.Roles&membership.RoleControl != 0 && m.State < membership.Dead {
			all = append(all, membership.EntryInstance{Instance: m.Instance, Address: m.Address, Control: m.Control})
		}
	}
	return all
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
	if n.streamArchive != nil {
		n.streamArchive.Receive(message)
	}
}

// findStreamOrigin returns the origin of a request's stream if this instance knows it.
func (n *Node) findStreamOrigin(request string) (software string, known bool) {
	if n.streamOrigins != nil {
		if software, known = n.streamOrigins.FindLocally(request); known {
			return software, true
		}
	}
	if n.streamArchive != nil {
		return n.streamArchive.Find(request)
	}
	return "", false
}

// streamsServer implements rpc.Streams.
type streamsServer struct{ node *Node }

// FindOrigin returns the origin of a stream if this instance knows it.
func (s streamsServer) FindOrigin(_ context.Context, request *rpc.FindOriginRequest) (*rpc.FindOriginAnswer, error) {
	software, known := s.node.findStreamOrigin(request.GetRequest())
	return &rpc.FindOriginAnswer{Known: known, Software: software}, nil
}
