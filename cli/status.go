package cli

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/control/server"
	"github.com/carawaystile/carawaystile/daemon"
	"github.com/carawaystile/carawaystile/metrics"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/rpc"
)

// statusCommand shows the cluster's instances, the configuration revision that each
// one uses, the leader of the control group, and the histograms of the first
// instance that returns them.
type statusCommand struct {
	operatorClient
	// forwarding is the address for metrics of a forwarding instance; empty for none.
	forwarding string
}

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "show instances, revisions and measurements" }

func (*statusCommand) Usage() string {
	return `status [-json]
status [-json] -forwarding ADDRESS
  Shows which instance has which revision in force and since when, the leader
  of the control group, and the histograms of the first instance that answers.
  With -forwarding, shows the instances of a forwarding deployment with their
  size and load instead, as the instance with this address for metrics knows
  them.
` + operatorClientUsage
}

func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.forwarding, "forwarding", "", "the address for metrics of a forwarding instance")
}

// statusResult is the JSON output of status. Instance, Zone and Revision are those
// of the instance that answered; Revision is the last one that the control group
// accepted.
type statusResult struct {
	Instance     string                     `json:"instance"`
	Zone         string                     `json:"zone"`
	Leader       string                     `json:"leader"`
	Revision     uint64                     `json:"revision"`
	Instances    []instanceStatus           `json:"instances"`
	Measurements []metrics.HistogramSummary `json:"measurements"`
	// Control is what the first control instance that answers knows of the voters.
	Control *server.Quorum `json:"control,omitempty"`
}

// instanceStatus is one instance in statusResult. Since is the time, in RFC 3339
// format, at which the instance began to use the revision.
type instanceStatus struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Role     string `json:"role"`
	State    string `json:"state"`
	Revision uint64 `json:"revision"`
	Since    string `json:"since"`
	// Size is the weight of the instance relative to others, 0 if it is not known. Loaded is set
	// while it is near the limit of its processor, link or memory.
	Size   int  `json:"size"`
	Loaded bool `json:"loaded"`
}

func (c *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		f.Usage()
		return exitUsage
	}
	if c.forwarding != "" {
		return c.showForwarding(ctx)
	}
	if err := c.configure(); err != nil {
		return fail(exitUsage, err)
	}
	answer, err := callFirstAvailable(ctx, &c.operatorClient, func(ctx context.Context, o rpc.Operator) (*rpc.StatusAnswer, error) {
		return o.Status(ctx, &rpc.StatusRequest{})
	})
	if err != nil {
		return failCall(err, "")
	}
	result := newStatusResult(answer)
	c.addSizes(ctx, result.Instances)
	for _, address := range c.addresses {
		if result.Control = c.readQuorum(ctx, address, daemon.QuorumPath); result.Control != nil {
			break
		}
	}
	for _, address := range c.addresses {
		if code, err := c.getJSON(ctx, address, daemon.MeasurementsPath, &result.Measurements); err == nil && code == http.StatusOK {
			break
		}
	}
	if c.asJSON {
		if err := writeJSON(os.Stdout, result); err != nil {
			return fail(exitFailure, trace.Wrap(err))
		}
		return exitOK
	}
	result.print()
	return exitOK
}

func newStatusResult(answer *rpc.StatusAnswer) statusResult {
	result := statusResult{
		Instance: answer.GetInstance(), Zone: answer.GetZone(), Leader: answer.GetLeader(),
		Revision: answer.GetRevision(), Instances: []instanceStatus{},
	}
	for _, i := range answer.GetInstances() {
		result.Instances = append(result.Instances, instanceStatus{
			Instance: i.GetInstance(), Zone: i.GetZone(), Role: i.GetRole(), State: i.GetState(),
			Revision: i.GetRevision(), Since: time.Unix(0, i.GetSince()).UTC().Format(time.RFC3339),
		})
	}
	return result
}

func (r statusResult) print() {
	fmt.Printf("Asked %s in %s. Revision %d is accepted. The control group's leader is %s.\n\n",
		r.Instance, r.Zone, r.Revision, cmp.Or(r.Leader, "none"))
	printQuorum(r.Control)
	out := newTable()
	defer out.Flush()
	fmt.Fprintln(out, "instance\tzone\trole\tstate\tsize\tload\trevision\tsince")
	for _, i := range r.Instances {
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%d\t%s\t%d\t%s\n", i.Instance, i.Zone, i.Role, i.State, i.Size, loadWord(i.Loaded), i.Revision, i.Since)
	}
	fmt.Fprintln(out, "\nmeasurement\tof\tcount\tp50\tp95\tp99")
	for _, m := range r.Measurements {
		if m.Count > 0 {
			fmt.Fprintf(out, "%s\t%s\t%d\t%.4g\t%.4g\t%.4g\n", m.Family, m.Labels, m.Count, m.P50, m.P95, m.P99)
		}
	}
}

// explainCommand shows the routing decision for one request. Without log files it
// queries the instances; with log files it prints the timeline of the request.
type explainCommand struct{ operatorClient }

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "tell why a request went where it went" }

func (*explainCommand) Usage() string {
	return `explain [-json] REQUEST
explain REQUEST LOGFILE...
  Without log files, shows the last decision on a request: the candidates, what
  each scored, and the choice. REQUEST is the id of the answer. Only the entry
  instance that served the request knows it, for a while; name all of them in
  -instances.
  With log files, tells the life of a request of a forwarding deployment from
  the collected logs of its processes, in order: what was decided and on what,
  how it ended, and what happened around it. - reads standard input. Talks to no
  instance.
` + operatorClientUsage
}

func (c *explainCommand) SetFlags(f *flag.FlagSet) { c.setFlags(f) }

func (c *explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 1 {
		return printRequestTrail(f.Arg(0), f.Args()[1:])
	}
	if f.NArg() != 1 {
		f.Usage()
		return exitUsage
	}
	if err := c.configure(); err != nil {
		return fail(exitUsage, err)
	}
	path := daemon.ExplainPath + "?request=" + url.QueryEscape(f.Arg(0))
	unreachable := &unreachableError{}
	for _, address := range c.addresses {
		var explanation router.Explanation
		code, err := c.getJSON(ctx, address, path, &explanation)
		switch {
		case err != nil:
			unreachable.Causes = append(unreachable.Causes, &instanceError{Address: address, Cause: err})
		case code == http.StatusOK:
			return c.print(explanation)
		}
	}
	if len(unreachable.Causes) > 0 {
		return failCall(unreachable, "")
	}
	fmt.Fprintf(os.Stderr, "No instance that was asked remembers the request %s.\n", f.Arg(0))
	return exitFailure
}

func (c *explainCommand) print(e router.Explanation) subcommands.ExitStatus {
	if err := writeJSON(os.Stdout, e); err != nil {
		return fail(exitFailure, trace.Wrap(err))
	}
	return exitOK
}
