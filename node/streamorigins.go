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
		Archives: n.streamArchives, Send: n.sendStreamOrigins, Ask: n.askStreamOrigins, Seen: n.softwareSeen,
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

func (n *Node) askStreamOrigins(ctx context.Context, instance membership.EntryInstance, requests, services []string) (streamorigin.Answer, error) {
	question := &rpc.FindOriginRequest{Requests: requests, Services: services}
	if len(requests) > 0 {
		question.Request = requests[0]
	}
	answer, err := rpc.NewStreamsProtobufClient("http://"+instance.Control.String(), n.client).FindOrigin(ctx, question)
	if err != nil {
		return streamorigin.Answer{}, err
	}
	found := streamorigin.Answer{Origins: answer.GetOrigins(), Services: map[string]streamorigin.Seen{}}
	if answer.GetKnown() && found.Origins == nil {
		found.Origins = map[string]string{question.Request: answer.GetSoftware()}
	}
	for _, seen := range answer.GetServices() {
		found.Services[seen.GetService()] = streamorigin.Seen{Versions: seen.GetVersions(), Complete: seen.GetComplete()}
	}
	return found, nil
}

// softwareSeen returns what this instance has seen of a service's endpoints.
func (n *Node) softwareSeen(service string) streamorigin.Seen {
	if n.entry != nil {
		return n.entry.Software().Seen(n.now(), service)
	}
	return n.software.Seen(n.now(), service)
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

// FindOrigin returns what this instance knows of the origins of streams, and has seen of services.
func (s streamsServer) FindOrigin(_ context.Context, question *rpc.FindOriginRequest) (*rpc.FindOriginAnswer, error) {
	answer := &rpc.FindOriginAnswer{Origins: map[string]string{}}
	answer.Software, answer.Known = s.node.findStreamOrigin(question.GetRequest())
	for _, request := range question.GetRequests() {
		if software, known := s.node.findStreamOrigin(request); known {
			answer.Origins[request] = software
		}
	}
	for _, service := range question.GetServices() {
		seen := s.node.softwareSeen(service)
		answer.Services = append(answer.Services, &rpc.ServiceSoftware{Service: service, Versions: seen.Versions, Complete: seen.Complete})
	}
	return answer, nil
}
