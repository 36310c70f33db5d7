package scenario

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/carawaystile/carawaystile/control/configuration"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// operator sends an operator's command with its key.
type operator struct{}

func (operator) Do(req *http.Request) (*http.Response, error) {
	req.Header.Set("Authorization", "Bearer "+strings.Repeat("k", 40))
	return http.DefaultClient.Do(req)
}

func operatorOf(ts *testscript.TestScript, name string) rpc.Operator {
	at := instanceOf(ts, name).options.Process.Listen.Instances
	return rpc.NewOperatorProtobufClient("http://"+at.String(), operator{})
}

func revision(ts *testscript.TestScript, _ bool, args []string) {
	need(ts, args, 2)
	client, want := operatorOf(ts, args[0]), uint64(number(ts, args[1]))
	until(ts, args[0]+" has not the revision", func() bool {
		answer, err := client.Status(context.Background(), &rpc.StatusRequest{})
		return err == nil && answer.GetRevision() >= want
	})
}

func leave(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, args, 2)
	client := operatorOf(ts, args[1])
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	answer, err := client.EndpointLeave(ctx, &rpc.EndpointRequest{
		Operator: "o", Request: fmt.Sprint("leave-", args[0]), Endpoint: args[0], Life: 1,
	})
	if accepted := err == nil && answer.GetAccepted() != nil; accepted == neg {
		ts.Fatalf("leave %s at %s: %v %v", args[0], args[1], answer, err)
	}
}

func newWeights(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, args, 3)
	c := *worldOf(ts).instances[args[1]].options.Declarations
	c.Models = []tables.Model{{Name: model, Weights: tables.WeightsVersion(args[0])}}
	items, err := configuration.Encode(c)
	check(ts, err)
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	answer, err := operatorOf(ts, args[1]).Apply(ctx, &rpc.ApplyRequest{
		Operator: "o", Request: "weights-" + args[0], Base: uint64(number(ts, args[2])), Items: items,
	})
	if accepted := err == nil && answer.GetAccepted() != nil; accepted == neg {
		ts.Fatalf("weights %s at %s: %v %v", args[0], args[1], answer, err)
	}
}
