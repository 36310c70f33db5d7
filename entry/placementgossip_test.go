package entry

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/prefix"
	"github.com/carawaystile/carawaystile/router"
)

// Guards against placements that are not gossiped. The other instances would
// then send requests with the same prefix to other endpoints, which compute the
// prefix again.
func TestPlacementsAreGossiped(t *testing.T) {
	gossiped := make(chan int, 8)
	r := newHarness(t, func(o *Options) {
		o.GossipPlacements = func(placements []router.PeerPlacement) { gossiped <- len(placements) }
	})
	r.client.generate = []generateFunc{func(ctx context.Context, req engine.GenerateRequest) (engine.Stream, error) {
		tokens := make(chan engine.Token, 1)
		tokens <- engine.Token{Index: 0, Text: "one"}
		close(tokens)
		return r.client.stream(ctx, req, tokens, nil), nil
	}}
	prompt := strings.Repeat("a", 2*prefix.BlockBytes+10)
	resp := r.post(t, t.Context(), "/v1/completions", `{"model":"m","prompt":"`+prompt+`"}`)
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, <-gossiped, 2)
}
