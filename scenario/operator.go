package scenario

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/carawaystile/carawaystile/rpc"
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
		return err == nil && answer.GetRevision() >= want && inForce(answer) >= want
	})
}

// inForce is the revision that the asked instance routes by. It comes some time
// after the replica beside it has the same revision: who sends a request in
// between finds the older one in force.
func inForce(answer *rpc.StatusAnswer) uint64 {
	for _, i := range answer.GetInstances() {
		if i.GetInstance() == answer.GetInstance() {
			return i.GetRevision()
		}
	}
	return 0
}

func leave(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, args, 2)
	changeLife(ts, neg, operatorOf(ts, args[1]).EndpointLeave, "leave", args)
}

func join(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, args, 2)
	changeLife(ts, neg, operatorOf(ts, args[1]).EndpointJoin, "join", args)
}

type lifeChange = func(ctx context.Context, request *rpc.EndpointRequest) (*rpc.ChangeAnswer, error)

func changeLife(ts *testscript.TestScript, neg bool, change lifeChange, what string, args []string) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	answer, err := change(ctx, &rpc.EndpointRequest{
		Operator: "o", Request: fmt.Sprint(what, "-", args[0]), Endpoint: args[0], Life: 1,
	})
	if accepted := err == nil && answer.GetAccepted() != nil; accepted == neg {
		ts.Fatalf("%s %s at %s: %v %v", what, args[0], args[1], answer, err)
	}
}

func newWeights(ts *testscript.TestScript, neg bool, args []string) {
	need(ts, args, 3)
	request := weightsChange(ts, args[0], args[1], uint64(number(ts, args[2])))
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	answer, err := operatorOf(ts, args[1]).Apply(ctx, request)
	if accepted := err == nil && answer.GetAccepted() != nil; accepted == neg {
		ts.Fatalf("weights %s at %s: %v %v", args[0], args[1], answer, err)
	}
}
