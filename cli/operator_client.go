package cli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/twitchtv/twirp"

	"github.com/carawaystile/carawaystile/internal/keepalive"
	"github.com/carawaystile/carawaystile/internal/readlimit"
	"github.com/carawaystile/carawaystile/keys"
	"github.com/carawaystile/carawaystile/rpc"
)

// Environment variables that set the defaults of -instances and -key.
const (
	instancesVariable = "CARAWAYSTILE_INSTANCES"
	keyVariable       = "CARAWAYSTILE_KEY"
)

// defaultCallTimeout is the default timeout of a call to one instance.
const defaultCallTimeout = 10 * time.Second

// maxResponseBytes limits how much getJSON reads of one response body, and maxBackupBytes any response:
// a backup holds the whole control state.
const (
	maxResponseBytes = 64 << 20
	maxBackupBytes   = 512 << 20
)

// operatorClient calls the operator API of control instances with failover: it
// tries the given addresses in order. Subcommands embed it together with its
// flags; configure must run before the first call.
type operatorClient struct {
	// instances is the comma-separated list of addresses as given.
	instances string
	// key is the path of the file with the operators' key.
	key string
	// timeout limits the call to one instance.
	timeout time.Duration
	asJSON  bool

	// addresses and httpClient are set by configure.
	addresses  []netip.AddrPort
	httpClient *http.Client
}

// operatorClientUsage ends the usage text of each subcommand that calls instances.
const operatorClientUsage = `  Instances are asked one after the other until one answers. Their addresses
  and the key file come from -instances and -key, or from the environment
  variables ` + instancesVariable + ` and ` + keyVariable + `.
`

// setFlags registers the flags that all subcommands with an operatorClient share.
func (c *operatorClient) setFlags(f *flag.FlagSet) {
	f.StringVar(&c.instances, "instances", os.Getenv(instancesVariable), "addresses of control instances, separated by commas")
	f.StringVar(&c.key, "key", os.Getenv(keyVariable), "file with the operators' key")
	f.DurationVar(&c.timeout, "timeout", defaultCallTimeout, "how long to wait for one instance")
	f.BoolVar(&c.asJSON, "json", false, "print the result as one JSON object")
}

// flagError reports a flag, or its environment variable, that is missing or
// invalid.
type flagError struct{ Flag, Reason string }

// Error implements error; the text starts with the flag.
func (e *flagError) Error() string { return fmt.Sprintf("-%s: %s", e.Flag, e.Reason) }

// instanceError is the failure of a call to one instance.
type instanceError struct {
	Address netip.AddrPort
	Cause   error
}

// Error implements error; the text starts with the instance's address. For a
// failed connection only the operating system's error follows, because the errors
// that wrap it repeat the address and the path.
func (e *instanceError) Error() string {
	var connection *net.OpError
	if errors.As(e.Cause, &connection) {
		return fmt.Sprintf("%s: %v", e.Address, connection.Err)
	}
	return fmt.Sprintf("%s: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *instanceError) Unwrap() error { return e.Cause }

// unreachableError reports that the calls to all instances failed.
type unreachableError struct{ Causes []error }

// Error implements error; the text has one line for each failed instance.
func (e *unreachableError) Error() string {
	lines := []string{"no instance answered:"}
	for _, cause := range e.Causes {
		lines = append(lines, "  "+cause.Error())
	}
	return strings.Join(lines, "\n")
}

// configure parses the addresses, reads the key file and creates the HTTP client,
// which sends the key with each request.
func (c *operatorClient) configure() error {
	if c.instances == "" {
		return &flagError{Flag: "instances", Reason: "no address is given"}
	}
	for _, text := range strings.Split(c.instances, ",") {
		address, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return &flagError{Flag: "instances", Reason: text + " is not an IP number with a port"}
		}
		c.addresses = append(c.addresses, address)
	}
	if c.key == "" {
		return &flagError{Flag: "key", Reason: "no file is given"}
	}
	ring, err := keys.Read(c.key)
	if err != nil {
		return err
	}
	base := http.DefaultTransport.(*http.Transport).Clone()
	base.DialContext = keepalive.Peers.Dialer(netip.Addr{}).DialContext
	limited := readlimit.NewTransport(base, "response body", maxBackupBytes)
	c.httpClient = &http.Client{Transport: &keys.Transport{Ring: ring, Base: limited}, Timeout: c.timeout}
	return nil
}

// callFirstAvailable tries the instances in order and returns the first successful
// response. It stops at a permanent error, which every other instance would return
// too. If all calls fail, the error is an unreachableError.
func callFirstAvailable[T any](ctx context.Context, client *operatorClient, call func(context.Context, rpc.Operator) (T, error)) (T, error) {
	var none T
	unreachable := &unreachableError{}
	for _, address := range client.addresses {
		answer, err := call(ctx, rpc.NewOperatorProtobufClient("http://"+address.String(), client.httpClient))
		if err == nil {
			return answer, nil
		}
		if isPermanent(err) {
			return none, trace.Wrap(err)
		}
		unreachable.Causes = append(unreachable.Causes, &instanceError{Address: address, Cause: err})
	}
	return none, unreachable
}

// isPermanent reports whether a retry at another instance would fail with the same
// error: the request is invalid or its key is not accepted.
func isPermanent(err error) bool {
	refusal, ok := err.(twirp.Error)
	return ok && (refusal.Code() == twirp.InvalidArgument || refusal.Code() == twirp.Unauthenticated)
}

// getJSON sends a GET request to one instance and returns the status code. It
// decodes the body into target, a pointer, if the status is 200 OK, and ignores the
// body otherwise.
func (c *operatorClient) getJSON(ctx context.Context, address netip.AddrPort, path string, target any) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+path, nil)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, nil
	}
	return resp.StatusCode, trace.Wrap(json.NewDecoder(readlimit.NewReader(resp.Body, "response body", maxResponseBytes)).Decode(target))
}

// newRequestID returns a random request ID of 12 bytes in hexadecimal. The
// control group applies only one change per operator and request ID, so a retry
// with the same ID is idempotent.
func newRequestID() string {
	var raw [12]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// defaultOperator returns the default of -operator: the login name in the USER
// variable, or "operator" if that is not set.
func defaultOperator() string {
	if user := os.Getenv("USER"); user != "" {
		return user
	}
	return "operator"
}
