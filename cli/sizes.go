package cli

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/control/gossip"
	"github.com/carawaystile/carawaystile/control/server"
	"github.com/carawaystile/carawaystile/daemon"
	"github.com/carawaystile/carawaystile/internal/readlimit"
)

// loadWord returns the text of an instance's load in tables.
func loadWord(loaded bool) string {
	if loaded {
		return "loaded"
	}
	return "-"
}

// addSizes adds the sizes and loads of instances from the first instance that returns them. Those
// of an earlier version return none.
func (c *statusCommand) addSizes(ctx context.Context, instances []instanceStatus) {
	for _, address := range c.addresses {
		var sizes []gossip.InstanceSize
		code, err := c.getJSON(ctx, address, daemon.InstancesPath, &sizes)
		if err != nil || code != http.StatusOK {
			continue
		}
		for _, size := range sizes {
			for i := range instances {
				if instances[i].Instance == size.Instance {
					instances[i].Size, instances[i].Loaded = size.Size, size.Loaded
				}
			}
		}
		return
	}
}

// showForwarding shows the instances of a forwarding deployment.
func (c *statusCommand) showForwarding(ctx context.Context) subcommands.ExitStatus {
	address, err := netip.ParseAddrPort(c.forwarding)
	if err != nil {
		return fail(exitUsage, trace.Wrap(err))
	}
	base := http.DefaultTransport.(*http.Transport).Clone()
	c.httpClient = &http.Client{Transport: readlimit.NewTransport(base, "response body", maxResponseBytes), Timeout: c.timeout}
	var sizes []gossip.InstanceSize
	code, err := c.getJSON(ctx, address, gossip.SizesPath, &sizes)
	if err == nil && code != http.StatusOK {
		err = trace.Wrap(&statusCodeError{Code: code})
	}
	if err != nil {
		return failCall(&unreachableError{Causes: []error{&instanceError{Address: address, Cause: err}}}, "")
	}
	if c.asJSON {
		if err := writeJSON(os.Stdout, sizes); err != nil {
			return fail(exitFailure, trace.Wrap(err))
		}
		return exitOK
	}
	printQuorum(c.readQuorum(ctx, address, server.QuorumPath))
	out := newTable()
	defer out.Flush()
	fmt.Fprintln(out, "instance\tzone\tstate\tsize\tload")
	for _, i := range sizes {
		fmt.Fprintf(out, "%s\t%s\t%s\t%d\t%s\n", i.Instance, i.Zone, i.State, i.Size, loadWord(i.Loaded))
	}
	return exitOK
}

// readQuorum returns what a control instance knows of the voters of its group, or nil if the
// instance has not that role or does not answer.
func (c *statusCommand) readQuorum(ctx context.Context, address netip.AddrPort, path string) *server.Quorum {
	var quorum server.Quorum
	if code, err := c.getJSON(ctx, address, path, &quorum); err != nil || code != http.StatusOK {
		return nil
	}
	return &quorum
}

// printQuorum prints the voters that do not respond and what follows for changes.
func printQuorum(q *server.Quorum) {
	switch {
	case q == nil:
	case q.Leader == "" && len(q.Voters) == 0:
		fmt.Print("The control instance belongs to no group yet.\n\n")
	case q.Leader == "":
		fmt.Printf("The control group has no leader: %d of %d voters respond, %d are needed. Unresponsive: %s.\n\n",
			q.Responding, len(q.Voters), q.Needed, strings.Join(q.Unresponsive, ", "))
	case len(q.Unresponsive) > 0:
		fmt.Printf("Voters of the control group that do not respond: %s. Of %d, %d are needed.\n\n",
			strings.Join(q.Unresponsive, ", "), len(q.Voters), q.Needed)
	}
}

// statusCodeError means that an instance answered with another status than 200.
type statusCodeError struct{ Code int }

func (e *statusCodeError) Error() string {
	return fmt.Sprintf("the instance answered with status %d", e.Code)
}
