// Package operator serves the operators' command at a control instance.
package operator

import (
	"context"

	"github.com/gravitational/trace"
	"github.com/twitchtv/twirp"

	"github.com/carawaystile/carawaystile/control/configuration"
	"github.com/carawaystile/carawaystile/control/server"
	"github.com/carawaystile/carawaystile/control/state"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// Options sets the service up.
type Options struct {
	Server   *server.Server
	Instance tables.InstanceID
	Zone     tables.Zone
	// InstanceStatuses returns what this instance knows of all instances.
	InstanceStatuses func() []*rpc.InstanceStatus
}

// Service implements rpc.Operator. The keys of operators are checked by the
// handler around it (see keys.Require).
type Service struct {
	options Options
}

// NewService returns the service.
func NewService(options Options) *Service { return &Service{options: options} }

// Status says what this instance is doing and what it knows of the others.
func (s *Service) Status(context.Context, *rpc.StatusRequest) (*rpc.StatusAnswer, error) {
	answer := &rpc.StatusAnswer{
		Instance: string(s.options.Instance),
		Zone:     string(s.options.Zone),
		Revision: uint64(s.options.Server.Revision()),
		Leader:   s.options.Server.Status().LeaderAddress,
	}
	if s.options.InstanceStatuses != nil {
		answer.Instances = s.options.InstanceStatuses()
	}
	return answer, nil
}

// Apply puts a configuration in force if the base revision still is. It
// compares the content with the base here and has the difference agreed; the
// state machine checks again that the two fit together.
func (s *Service) Apply(ctx context.Context, request *rpc.ApplyRequest) (*rpc.ChangeAnswer, error) {
	if err := configuration.Validate(request.GetItems()); err != nil {
		return nil, twirp.InvalidArgumentError("items", err.Error())
	}
	// A base that is not known here may be newer than what this replica has
	// applied.
	if tables.Revision(request.GetBase()) > s.options.Server.Revision() {
		if err := s.options.Server.Barrier(ctx); err != nil {
			return nil, unavailable(err)
		}
	}
	wanted := configuration.NewContent(request.GetItems())
	command := &rpc.ApplyConfiguration{
		Operator: request.GetOperator(),
		Request:  request.GetRequest(),
		Base:     request.GetBase(),
		Digest:   wanted.DeclaredDigest(),
	}
	s.options.Server.View(func(in *state.State) {
		if uint64(in.Revision()) == request.GetBase() {
			command.Changes = configuration.ChangedItems(in.Content(), wanted)
		}
	})
	answer, err := s.change(ctx, &rpc.Command{Action: &rpc.Command_Apply{Apply: command}})
	if err != nil {
		return nil, err
	}
	if answer.GetConflict() != nil {
		s.addDifference(ctx, answer, wanted)
	}
	return answer, nil
}

// addDifference shows what the refused content would change in what is in
// force.
func (s *Service) addDifference(ctx context.Context, answer *rpc.ChangeAnswer, wanted *configuration.Content) {
	if err := s.options.Server.Barrier(ctx); err != nil {
		return
	}
	s.options.Server.View(func(in *state.State) {
		for _, change := range configuration.DiffContents(in.Content(), wanted) {
			answer.Difference = append(answer.Difference, &rpc.ItemChange{
				Kind:   change.Key.Kind,
				Name:   change.Key.Name,
				Before: change.Before,
				After:  change.After,
			})
		}
	})
}

// Configuration gives the configuration in force, as agreed by the quorum.
func (s *Service) Configuration(ctx context.Context, _ *rpc.ConfigurationRequest) (*rpc.ConfigurationAnswer, error) {
	if err := s.options.Server.Barrier(ctx); err != nil {
		return nil, unavailable(err)
	}
	answer := &rpc.ConfigurationAnswer{Revision: &rpc.Revision{}}
	s.options.Server.View(func(in *state.State) {
		answer.Items = in.Content().Items()
		if history := in.History(); len(history) > 0 {
			answer.Revision = history[len(history)-1]
		}
	})
	return answer, nil
}

// History gives the newest accepted revisions, newest first.
func (s *Service) History(ctx context.Context, request *rpc.HistoryRequest) (*rpc.HistoryAnswer, error) {
	if err := s.options.Server.Barrier(ctx); err != nil {
		return nil, unavailable(err)
	}
	answer := &rpc.HistoryAnswer{}
	s.options.Server.View(func(in *state.State) {
		history := in.History()
		for i := len(history) - 1; i >= 0; i-- {
			if limit := int(request.GetLimit()); limit > 0 && len(answer.Revisions) == limit {
				return
			}
			answer.Revisions = append(answer.Revisions, history[i])
		}
	})
	return answer, nil
}

// EndpointLeave takes an endpoint out of use until it joins again.
func (s *Service) EndpointLeave(ctx context.Context, request *rpc.EndpointRequest) (*rpc.ChangeAnswer, error) {
	return s.changeLife(ctx, request, false)
}

// EndpointJoin lets an endpoint join as a newer life.
func (s *Service) EndpointJoin(ctx context.Context, request *rpc.EndpointRequest) (*rpc.ChangeAnswer, error) {
	return s.changeLife(ctx, request, true)
}

func (s *Service) changeLife(ctx context.Context, request *rpc.EndpointRequest, join bool) (*rpc.ChangeAnswer, error) {
	return s.change(ctx, &rpc.Command{Action: &rpc.Command_ChangeLife{ChangeLife: &rpc.ChangeLife{
		Operator: request.GetOperator(),
		Request:  request.GetRequest(),
		Endpoint: request.GetEndpoint(),
		Join:     join,
		Life:     request.GetLife(),
	}}})
}

func (s *Service) change(ctx context.Context, command *rpc.Command) (*rpc.ChangeAnswer, error) {
	result, err := s.options.Server.Execute(ctx, command)
	if err != nil {
		return nil, unavailable(err)
	}
	switch answer := result.GetAnswer().(type) {
	case *rpc.Result_Accepted:
		return &rpc.ChangeAnswer{Answer: &rpc.ChangeAnswer_Accepted{Accepted: answer.Accepted}}, nil
	case *rpc.Result_Conflict:
		return &rpc.ChangeAnswer{Answer: &rpc.ChangeAnswer_Conflict{Conflict: answer.Conflict}}, nil
	default:
		return &rpc.ChangeAnswer{Answer: &rpc.ChangeAnswer_Refusal{Refusal: result.GetRefusal()}}, nil
	}
}

// unavailable tells the command that the change may or may not be in force. It
// can be sent again under the same request id.
func unavailable(err error) error {
	return twirp.NewError(twirp.Unavailable, trace.Unwrap(err).Error())
}

// Backup gives the replicated state, to be kept elsewhere.
func (s *Service) Backup(ctx context.Context, _ *rpc.BackupRequest) (*rpc.Backup, error) {
	backup, err := s.options.Server.Backup(ctx)
	if err != nil {
		return nil, unavailable(err)
	}
	return backup, nil
}
