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

// Load is an endpoint's report of itself as of a moment that lies AgeMillis
// in the past, so far as the endpoint knows.
type Load struct {
	Boot    tables.BootID                              `json:"boot"`
	Weights map[tables.ModelName]tables.WeightsVersion `json:"weights,omitempty"`
	Running int                                        `json:"running"`
	Queued  int                                        `json:"queued"`
	// QueuedTokens is prompt work that waits.
	QueuedTokens int                `json:"queued_tokens"`
	CacheBlocks  int                `json:"cache_blocks"`
	Attempts     []tables.AttemptID `json:"attempts,omitempty"`
	AgeMillis    int64              `json:"age_ms"`
}

// CacheChange says that blocks entered or left the cache.
type CacheChange struct {
	// Sequence grows by one per change within a boot, from 1; a jump is a gap.
	Sequence uint64             `json:"sequence"`
	Stored   []tables.BlockHash `json:"stored,omitempty"`
	Evicted  []tables.BlockHash `json:"evicted,omitempty"`
}

// MaxChangesPerResponse is how many changes an endpoint gives in one answer at most. It
// keeps an answer far below the client's limit, which would otherwise refuse
// the same long answer for ever after a long pause.
const MaxChangesPerResponse = 1024

// CacheChanges answers a question for the changes after a sequence number.
type CacheChanges struct {
	Boot    tables.BootID `json:"boot"`
	Changes []CacheChange `json:"changes,omitempty"`
}

// OrderKind says what an order is about.
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

// Order is a change that the control state wants of an endpoint.
type Order struct {
	Fence   tables.FencingToken   `json:"fence"`
	Kind    OrderKind             `json:"kind"`
	Model   tables.ModelName      `json:"model,omitempty"`
	Adapter tables.AdapterName    `json:"adapter,omitempty"`
	Weights tables.WeightsVersion `json:"weights,omitempty"`
	Role    string                `json:"role,omitempty"`
}

// OrderState is what an endpoint now serves, for reading back after an order.
type OrderState struct {
	Boot tables.BootID `json:"boot"`
	// Fence is the highest fencing number that the endpoint has seen; zero at
	// endpoints that do not check it.
	Fence    tables.FencingToken                        `json:"fence"`
	Role     string                                     `json:"role"`
	Weights  map[tables.ModelName]tables.WeightsVersion `json:"weights,omitempty"`
	Adapters map[tables.ModelName][]tables.AdapterName  `json:"adapters,omitempty"`
	// Loading counts the loads that are under way.
	Loading int `json:"loading"`
}

// OrderRefusal is the body of the answer 409 to an order.
type OrderRefusal struct {
	Fence  tables.FencingToken `json:"fence"`
	Reason string              `json:"reason"`
}

// StaleFencingTokenError means that an endpoint has seen a newer order, so whoever gave this
// one is no longer entitled to.
type StaleFencingTokenError struct {
	Fence tables.FencingToken
	Seen  tables.FencingToken
}

// Error gives both numbers.
func (e *StaleFencingTokenError) Error() string {
	return fmt.Sprintf("order with fencing number %d refused, endpoint has seen %d", e.Fence, e.Seen)
}

// CacheTransfer names blocks with their content's handle, for moving cache
// from one endpoint to another.
type CacheTransfer struct {
	Salt    string                `json:"cache_salt"`
	Model   tables.ModelName      `json:"model"`
	Adapter tables.AdapterName    `json:"adapter,omitempty"`
	Weights tables.WeightsVersion `json:"weights"`
	// Blocks are in the order of the prompt, outermost first. An export asks
	// for them and gets the longest run that is held.
	Blocks []tables.BlockHash `json:"blocks"`
}

// ReportReader reads endpoints' reports.
type ReportReader interface {
	Load(ctx context.Context, at netip.AddrPort) (Load, error)
	CacheChanges(ctx context.Context, at netip.AddrPort, boot tables.BootID, after uint64, wait time.Duration) (CacheChanges, error)
}

// OrderClient gives orders to endpoints.
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
	err := c.fetch(ctx, c.options.ResponseTimeout, endpointURL(at, PathLoad), &load)
	return load, err
}

// CacheChanges reads the cache changes after a sequence number of a boot. The
// endpoint holds the answer back for at most wait while there are none. After
// another boot it answers from the beginning of the present one.
func (c *HTTPClient) CacheChanges(ctx context.Context, at netip.AddrPort, boot tables.BootID, after uint64, wait time.Duration) (CacheChanges, error) {
	to := endpointURL(at, PathCacheEvents)
	to.RawQuery = url.Values{
		"boot":    {string(boot)},
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
		"limit":   {strconv.Itoa(MaxChangesPerResponse)},
	}.Encode()
	var changes CacheChanges
	err := c.fetch(ctx, wait+c.options.ResponseTimeout, to, &changes)
	return changes, err
}

// Order gives an order and returns what the endpoint then says of itself. A
// refusal for its fencing number is *OldFence. After any other failure the
// order may have been carried out; OrderState tells.
func (c *HTTPClient) Order(ctx context.Context, at netip.AddrPort, order Order) (OrderState, error) {
	var state OrderState
	err := c.exchange(ctx, c.options.ResponseTimeout, at, PathOrders, order, &state)
	if refused, ok := err.(*UnexpectedStatusError); ok && refused.Status == http.StatusConflict {
		return OrderState{}, &StaleFencingTokenError{Fence: order.Fence, Seen: refused.refusal.Fence}
	}
	return state, err
}

// OrderState reads what an endpoint serves.
func (c *HTTPClient) OrderState(ctx context.Context, at netip.AddrPort) (OrderState, error) {
	var state OrderState
	err := c.fetch(ctx, c.options.ResponseTimeout, endpointURL(at, PathOrderState), &state)
	return state, err
}

// ExportCache asks an endpoint to make blocks ready for import elsewhere and
// returns the run that it holds.
func (c *HTTPClient) ExportCache(ctx context.Context, at netip.AddrPort, want CacheTransfer) (CacheTransfer, error) {
	var have CacheTransfer
	err := c.exchange(ctx, c.options.ResponseTimeout, at, PathCacheExport, want, &have)
	return have, err
}

// ImportCache gives exported blocks to an endpoint and returns those that it
// took.
func (c *HTTPClient) ImportCache(ctx context.Context, at netip.AddrPort, have CacheTransfer) (CacheTransfer, error) {
	var taken CacheTransfer
	err := c.exchange(ctx, c.options.ResponseTimeout, at, PathCacheImport, have, &taken)
	return taken, err
}
