// Package operator implements the RPC service of the operators' command line tool
// on a control instance: status, configuration changes with optimistic concurrency
// control, history and backups.
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

// Options configures a Service.
type Options struct {
	Server   *server.Server
	Instance tables.InstanceID
	Zone     tables.Zone
	// InstanceStatuses returns this instance's view of all instances; nil means
	// that Status lists none.
	InstanceStatuses func() []*rpc.InstanceStatus
}

// Service implements rpc.Operator. The handler that wraps it authenticates
// operators (see keys.Require).
type Service struct {
	options Options
}

// NewService returns a Service.
func NewService(options Options) *Service { return &Service{options: options} }

// Status returns the state of this instance and its view of the others. It does not
// require a quorum.
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

// Apply replaces the configuration if the base revision is still the current one
// (optimistic concurrency control). It computes the changes against the base on
// this replica and proposes only these; the state machine verifies again that
// changes and base match.
func (s *Service) Apply(ctx context.Context, request *rpc.ApplyRequest) (*rpc.ChangeAnswer, error) {
	if err := configuration.Validate(request.GetItems()); err != nil {
		return nil, twirp.InvalidArgumentError("items", err.Error())
	}
	// A base that this replica does not know may be newer than its last applied
	// entry.
	if tables.Revision(request.GetBase()) > s.options.Server.Revision() {
		if err := s.options.Server.Barrier(ctx); err != nil {
			return nil, unavailableError(err)
		}
	}
	desired := configuration.NewContent(request.GetItems())
	command := &rpc.ApplyConfiguration{
		Operator: request.GetOperator(),
		Request:  request.GetRequest(),
		Base:     request.GetBase(),
		Digest:   desired.DeclaredDigest(),
	}
	s.options.Server.View(func(in *state.State) {
		if uint64(in.Revision()) == request.GetBase() {
			command.Changes = configuration.ChangedItems(in.Content(), desired)
		}
	})
	answer, err := s.executeChange(ctx, &rpc.Command{Action: &rpc.Command_Apply{Apply: command}})
	if err != nil {
		return nil, err
	}
	if answer.GetConflict() != nil {
		s.addDiffToConflict(ctx, answer, desired)
	}
	return answer, nil
}

// addDiffToConflict adds the changes that the rejected content would make to the
// current configuration. It leaves them out if there is no quorum.
func (s *Service) addDiffToConflict(ctx context.Context, answer *rpc.ChangeAnswer, desired *configuration.Content) {
	if err := s.options.Server.Barrier(ctx); err != nil {
		return
	}
	s.options.Server.View(func(in *state.State) {
		for _, change := range configuration.DiffContents(in.Content(), desired) {
			answer.Difference = append(answer.Difference, &rpc.ItemChange{
				Kind:   change.Key.Kind,
				Name:   change.Key.Name,
				Before: change.Before,
				After:  change.After,
			})
		}
	})
}

// Configuration returns the current configuration as a linearizable read.
func (s *Service) Configuration(ctx context.Context, _ *rpc.ConfigurationRequest) (*rpc.ConfigurationAnswer, error) {
	if err := s.options.Server.Barrier(ctx); err != nil {
		return nil, unavailableError(err)
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

// History returns the accepted revisions, newest first, as a linearizable read.
func (s *Service) History(ctx context.Context, request *rpc.HistoryRequest) (*rpc.HistoryAnswer, error) {
	if err := s.options.Server.Barrier(ctx); err != nil {
		return nil, unavailableError(err)
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

// EndpointJoin lets an endpoint join again with the next life.
func (s *Service) EndpointJoin(ctx context.Context, request *rpc.EndpointRequest) (*rpc.ChangeAnswer, error) {
	return s.changeLife(ctx, request, true)
}

// changeLife executes a leave or join of an endpoint.
func (s *Service) changeLife(ctx context.Context, request *rpc.EndpointRequest, join bool) (*rpc.ChangeAnswer, error) {
	return s.executeChange(ctx, &rpc.Command{Action: &rpc.Command_ChangeLife{ChangeLife: &rpc.ChangeLife{
		Operator: request.GetOperator(),
		Request:  request.GetRequest(),
		Endpoint: request.GetEndpoint(),
		Join:     join,
		Life:     request.GetLife(),
	}}})
}

// executeChange executes a command and converts its result.
func (s *Service) executeChange(ctx context.Context, command *rpc.Command) (*rpc.ChangeAnswer, error) {
	result, err := s.options.Server.Execute(ctx, command)
	if err != nil {
		return nil, unavailableError(err)
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

// unavailableError tells the client that the outcome is unknown: the change may or
// may not have been committed. The client can safely retry it with the same request
// ID.
func unavailableError(err error) error {
	return twirp.NewError(twirp.Unavailable, trace.Unwrap(err).Error())
}

// Backup returns a backup of the replicated state for storage elsewhere.
func (s *Service) Backup(ctx context.Context, _ *rpc.BackupRequest) (*rpc.Backup, error) {
	backup, err := s.options.Server.Backup(ctx)
	if err != nil {
		return nil, unavailableError(err)
	}
	return backup, nil
}
