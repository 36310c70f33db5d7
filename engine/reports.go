package engine

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// Load is an endpoint's report of its own load. To the endpoint's knowledge it describes
// the state AgeMillis milliseconds ago.
type Load struct {
	Boot    tables.BootID                              `json:"boot"`
	Weights map[tables.ModelName]tables.WeightsVersion `json:"weights,omitempty"`
	Running int                                        `json:"running"`
	Queued  int                                        `json:"queued"`
	// QueuedTokens is the number of prompt tokens that wait for prefill.
	QueuedTokens int                `json:"queued_tokens"`
	CacheBlocks  int                `json:"cache_blocks"`
	Attempts     []tables.AttemptID `json:"attempts,omitempty"`
	AgeMillis    int64              `json:"age_ms"`
}

// CacheChange lists blocks that were stored in or evicted from the cache.
type CacheChange struct {
	// Sequence grows by one per change within a boot, from 1; a larger step means that
	// changes were missed.
	Sequence uint64             `json:"sequence"`
	Stored   []tables.BlockHash `json:"stored,omitempty"`
	Evicted  []tables.BlockHash `json:"evicted,omitempty"`
}

// MaxChangesPerResponse is the largest number of changes in one response. It keeps the
// response far below the client's size limit. Without it the response after a long pause
// would exceed that limit, and so would every retry.
const MaxChangesPerResponse = 1024

// CacheChanges is the response to a request for the changes after a sequence number.
type CacheChanges struct {
	Boot    tables.BootID `json:"boot"`
	Changes []CacheChange `json:"changes,omitempty"`
	// Draining is set if the endpoint has announced that it is about to stop.
	Draining bool `json:"-"`
}

// OrderKind is the kind of an order.
type OrderKind string

// The kinds of order.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderLoadVersion OrderKind = "load_version"
	OrderChangeRole  OrderKind = "change_role"
)

// The roles of an engine.
const (
	RoleServe   = "serve"
	RolePrefill = "prefill"
	RoleDecode  = "decode"
)

// Order is a command of the control plane to an endpoint. Fence is its fencing token.
type Order struct {
	Fence   tables.FencingToken   `json:"fence"`
	Kind    OrderKind             `json:"kind"`
	Model   tables.ModelName      `json:"model,omitempty"`
	Adapter tables.AdapterName    `json:"adapter,omitempty"`
	Weights tables.WeightsVersion `json:"weights,omitempty"`
	Role    string                `json:"role,omitempty"`
}

// OrderState is what an endpoint serves now. It is read back after an order.
type OrderState struct {
	Boot tables.BootID `json:"boot"`
	// Fence is the highest fencing token that the endpoint has seen; zero at endpoints
	// that do not check it.
	Fence    tables.FencingToken                        `json:"fence"`
	Role     string                                     `json:"role"`
	Weights  map[tables.ModelName]tables.WeightsVersion `json:"weights,omitempty"`
	Adapters map[tables.ModelName][]tables.AdapterName  `json:"adapters,omitempty"`
	// Loading is the number of loads of models, adapters or weights in progress.
	Loading int `json:"loading"`
}

// OrderRefusal is the body of a 409 response to an order.
type OrderRefusal struct {
	Fence  tables.FencingToken `json:"fence"`
	Reason string              `json:"reason"`
}

// StaleFencingTokenError means that an endpoint has seen a newer fencing token, so the
// sender of the order no longer holds the lease that entitled it.
type StaleFencingTokenError struct {
	Fence tables.FencingToken
	Seen  tables.FencingToken
}

// Error returns both fencing tokens.
func (e *StaleFencingTokenError) Error() string {
	return fmt.Sprintf("order with fencing token %d refused: the endpoint has seen %d", e.Fence, e.Seen)
}

// CacheTransfer names cache blocks and their scope, for copying them from one endpoint to
// another.
type CacheTransfer struct {
	Salt    string                `json:"cache_salt"`
	Model   tables.ModelName      `json:"model"`
	Adapter tables.AdapterName    `json:"adapter,omitempty"`
	Weights tables.WeightsVersion `json:"weights"`
	// Blocks are in the order of the prompt, outermost first. An export request names the
	// wanted blocks; its response holds the longest leading run of them that is cached.
	Blocks []tables.BlockHash `json:"blocks"`
}

// ReportReader reads the reports of endpoints.
type ReportReader interface {
	Load(ctx context.Context, at netip.AddrPort) (Load, error)
	CacheChanges(ctx context.Context, at netip.AddrPort, boot tables.BootID, after uint64, wait time.Duration) (CacheChanges, error)
}

// OrderClient sends orders to endpoints.
type OrderClient interface {
	Order(ctx context.Context, at netip.AddrPort, order Order) (OrderState, error)
	OrderState(ctx context.Context, at netip.AddrPort) (OrderState, error)
}

var (
	_ ReportReader = (*HTTPClient)(nil)
	_ OrderClient  = (*HTTPClient)(nil)
)

// Load reads an endpoint's load report.
func (c *HTTPClient) Load(ctx context.Context, at netip.AddrPort) (Load, error) {
	var load Load
	err := c.getJSON(ctx, c.options.ResponseTimeout, endpointURL(at, PathLoad), &load)
	return load, err
}

// CacheChanges reads the cache changes after a sequence number of a boot by long polling:
// while there are none, the endpoint delays its response by at most wait. If the endpoint
// has another boot identity by now, the response begins with the first change of that
// boot.
func (c *HTTPClient) CacheChanges(ctx context.Context, at netip.AddrPort, boot tables.BootID, after uint64, wait time.Duration) (CacheChanges, error) {
	to := endpointURL(at, PathCacheEvents)
	to.RawQuery = url.Values{
		"boot":    {string(boot)},
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
		"limit":   {strconv.Itoa(MaxChangesPerResponse)},
	}.Encode()
	var changes CacheChanges
	err := c.getJSON(ctx, wait+c.options.ResponseTimeout, to, &changes)
	return changes, err
}

// Order sends an order and returns the endpoint's state after it. If the fencing token is
// stale it returns *StaleFencingTokenError. After any other error the order may have been
// executed; OrderState tells.
func (c *HTTPClient) Order(ctx context.Context, at netip.AddrPort, order Order) (OrderState, error) {
	var state OrderState
	err := c.postJSON(ctx, c.options.ResponseTimeout, at, PathOrders, order, &state)
	if refused, ok := err.(*UnexpectedStatusError); ok && refused.Status == http.StatusConflict {
		return OrderState{}, &StaleFencingTokenError{Fence: order.Fence, Seen: refused.orderRefusal.Fence}
	}
	return state, err
}

// OrderState reads what an endpoint serves.
func (c *HTTPClient) OrderState(ctx context.Context, at netip.AddrPort) (OrderState, error) {
	var state OrderState
	err := c.getJSON(ctx, c.options.ResponseTimeout, endpointURL(at, PathOrderState), &state)
	return state, err
}

// ExportCache asks an endpoint to prepare blocks for import elsewhere and returns the
// leading run of them that it holds.
func (c *HTTPClient) ExportCache(ctx context.Context, at netip.AddrPort, want CacheTransfer) (CacheTransfer, error) {
	var have CacheTransfer
	err := c.postJSON(ctx, c.options.ResponseTimeout, at, PathCacheExport, want, &have)
	return have, err
}

// ImportCache sends exported blocks to an endpoint and returns those that it took.
func (c *HTTPClient) ImportCache(ctx context.Context, at netip.AddrPort, have CacheTransfer) (CacheTransfer, error) {
	var taken CacheTransfer
	err := c.postJSON(ctx, c.options.ResponseTimeout, at, PathCacheImport, have, &taken)
	return taken, err
}
