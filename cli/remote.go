package cli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/twitchtv/twirp"

	"github.com/carawaystile/carawaystile/keys"
	"github.com/carawaystile/carawaystile/rpc"
)

// Environment variables that stand in for the flags of the same meaning.
const (
	instancesVariable = "CARAWAYSTILE_INSTANCES"
	keyVariable       = "CARAWAYSTILE_KEY"
)

const defaultRemoteTimeout = 10 * time.Second

// maxAnswerBytes bounds what is read of one answer.
const maxAnswerBytes = 64 << 20

// remote is how a subcommand reaches instances.
type remote struct {
	instances string
	key       string
	timeout   time.Duration
	asJSON    bool

	addresses []netip.AddrPort
	client    *http.Client
}

// remoteUsage is the end of each usage text.
const remoteUsage = `  Instances are asked one after the other until one answers. Their addresses
  and the key file come from -instances and -key, or from the environment
  variables ` + instancesVariable + ` and ` + keyVariable + `.
`

func (r *remote) setFlags(f *flag.FlagSet) {
	f.StringVar(&r.instances, "instances", os.Getenv(instancesVariable), "addresses of control instances, separated by commas")
	f.StringVar(&r.key, "key", os.Getenv(keyVariable), "file with the operators' key")
	f.DurationVar(&r.timeout, "timeout", defaultRemoteTimeout, "how long to wait for one instance")
	f.BoolVar(&r.asJSON, "json", false, "print the result as one JSON object")
}

// badFlag means that a flag or its environment variable is missing or wrong.
type badFlag struct{ Flag, Reason string }

// Error names the flag.
func (e *badFlag) Error() string { return fmt.Sprintf("-%s: %s", e.Flag, e.Reason) }

// unanswered is why one instance gave no answer.
type unanswered struct {
	At    netip.AddrPort
	Cause error
}

// Error names the instance. Of a failed connection it tells what the operating
// system said; the layers above it repeat the address and the path.
func (e *unanswered) Error() string {
	var connection *net.OpError
	if errors.As(e.Cause, &connection) {
		return fmt.Sprintf("%s: %v", e.At, connection.Err)
	}
	return fmt.Sprintf("%s: %v", e.At, e.Cause)
}

// Unwrap gives the cause.
func (e *unanswered) Unwrap() error { return e.Cause }

// unreachable means that no instance gave an answer.
type unreachable struct{ Causes []error }

// Error lists why, an instance a line.
func (e *unreachable) Error() string {
	lines := []string{"no instance answered:"}
	for _, cause := range e.Causes {
		lines = append(lines, "  "+cause.Error())
	}
	return strings.Join(lines, "\n")
}

// open reads the flags.
func (r *remote) open() error {
	if r.instances == "" {
		return &badFlag{Flag: "instances", Reason: "no address is given"}
	}
	for _, text := range strings.Split(r.instances, ",") {
		at, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return &badFlag{Flag: "instances", Reason: text + " is not an IP number with a port"}
		}
		r.addresses = append(r.addresses, at)
	}
	if r.key == "" {
		return &badFlag{Flag: "key", Reason: "no file is given"}
	}
	ring, err := keys.Read(r.key)
	if err != nil {
		return err
	}
	r.client = &http.Client{Transport: &keys.Transport{Ring: ring, Base: http.DefaultTransport}, Timeout: r.timeout}
	return nil
}

// ask calls instances one after the other until one answers. A failure that
// another instance would repeat ends it at once.
func ask[T any](ctx context.Context, r *remote, call func(context.Context, rpc.Operator) (T, error)) (T, error) {
	var none T
	failed := &unreachable{}
	for _, at := range r.addresses {
		answer, err := call(ctx, rpc.NewOperatorProtobufClient("http://"+at.String(), r.client))
		if err == nil {
			return answer, nil
		}
		if final(err) {
			return none, trace.Wrap(err)
		}
		failed.Causes = append(failed.Causes, &unanswered{At: at, Cause: err})
	}
	return none, failed
}

// final says whether asking another instance would give the same failure.
func final(err error) bool {
	refusal, ok := err.(twirp.Error)
	return ok && (refusal.Code() == twirp.InvalidArgument || refusal.Code() == twirp.Unauthenticated)
}

// get reads a JSON answer of one instance.
func (r *remote) get(ctx context.Context, at netip.AddrPort, path string, into any) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.String()+path, nil)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, nil
	}
	return resp.StatusCode, trace.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(into))
}

// newRequestID names one change, so that sending it again changes nothing.
func newRequestID() string {
	var raw [12]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// defaultOperator is the name that changes are recorded under.
func defaultOperator() string {
	if user := os.Getenv("USER"); user != "" {
		return user
	}
	return "operator"
}
