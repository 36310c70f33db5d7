package cli

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"github.com/carawaystile/carawaystile/rpc"
)

// endpointCommand drains an endpoint (leave) or returns it to service (join).
type endpointCommand struct {
	operatorClient
	// operator is the name that the history records for the change.
	operator string
	// request identifies the change; operator and request together are its
	// idempotency key.
	request string
	// incarnation is the life of the endpoint that the command applies to; joining
	// increments it. 0 means the current one. A command for any other is refused,
	// so that a late retry of a leave cannot undo a join.
	incarnation uint64
}

// The actions of the endpoint command.
const (
	actionLeave = "leave"
	actionJoin  = "join"
)

func (*endpointCommand) Name() string     { return "endpoint" }
func (*endpointCommand) Synopsis() string { return "let an endpoint leave or join" }

func (*endpointCommand) Usage() string {
	return `endpoint [-request ID] [-operator NAME] [-life N] [-json] leave|join ENDPOINT
  leave: no instance gives the endpoint new work; running work ends. It holds
  until join, whatever else is applied.
  join: the endpoint may get work again, as a newer life.
  With -life nothing happens if the endpoint has another life by now.
` + operatorClientUsage
}

func (c *endpointCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.request, "request", "", "identity of the change, to send the same one again")
	f.StringVar(&c.operator, "operator", defaultOperator(), "name that the change is recorded under")
	f.Uint64Var(&c.incarnation, "life", 0, "life of the endpoint that is meant; 0 means the newest")
}

func (c *endpointCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	action := f.Arg(0)
	if f.NArg() != 2 || (action != actionLeave && action != actionJoin) {
		f.Usage()
		return exitUsage
	}
	if err := c.configure(); err != nil {
		return fail(exitUsage, err)
	}
	if c.request == "" {
		c.request = newRequestID()
	}
	request := &rpc.EndpointRequest{Operator: c.operator, Request: c.request, Endpoint: f.Arg(1), Life: c.incarnation}
	answer, err := callFirstAvailable(ctx, &c.operatorClient, func(ctx context.Context, o rpc.Operator) (*rpc.ChangeAnswer, error) {
		if action == actionJoin {
			return o.EndpointJoin(ctx, request)
		}
		return o.EndpointLeave(ctx, request)
	})
	if err != nil {
		return failCall(err, c.request)
	}
	result, code := newChangeResult(c.request, answer)
	return result.print(c.asJSON, code)
}
