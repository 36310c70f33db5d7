package deployment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// largestDocument is as large as operators may send: routes with names that do not
// repeat.
func largestDocument(t testing.TB) []byte {
	type route struct {
		Name, Host, Prefix, Kind, Service string
		Timeout, Target, Priority         int
	}
	var routes []route
	for i := range 24_000 {
		id := fmt.Sprintf("%x", uint32(i)*2654435761)
		routes = append(routes, route{
			Name: "r-" + id, Host: id + ".example", Prefix: "/" + id + "/x/", Kind: "idempotent", Service: "service-a",
			Timeout: 4000, Target: 300, Priority: i % 3,
		})
	}
	content, err := json.Marshal(routes)
	assert.NilError(t, err)
	assert.Assert(t, len(content) > 7<<19 && len(content) < 9<<19, "%d bytes", len(content))
	return content
}

// wireSource passes answers on as bytes, and counts them.
type wireSource struct {
	*Service
	bytes int
}

func (w *wireSource) Follow(ctx context.Context, request *rpc.FollowRequest) (*rpc.FollowAnswer, error) {
	answer, err := w.Service.Follow(ctx, request)
	if err != nil {
		return nil, err
	}
	encoded, err := proto.Marshal(answer)
	if err != nil {
		return nil, err
	}
	w.bytes += len(encoded)
	passed := &rpc.FollowAnswer{}
	return passed, proto.Unmarshal(encoded, passed)
}

// An operator adds thousands of routes. The document takes longer over an instance's
// slow link than a source may take to answer, so the instance gives that source up
// and asks the next one, which sends it all again: the change is never in force
// there, and the link has no room for callers.
func TestTheLargestDocumentFitsThroughASlowLink(t *testing.T) {
	const linkBytesPerSecond = 7.5e6 / 8
	service := NewService(Options{
		Replica: single(t), Fleet: fleet.NewTable(1), HoldsOrderLease: func() bool { return true },
		Now: func() tables.Instant { return 0 },
	})
	content := largestDocument(t)
	assert.NilError(t, service.Put(t.Context(), ConfigurationDocument, 7, content))
	source := &wireSource{Service: service}
	c, _ := follower()
	var taken []byte
	c.options.OnDocument = func(d *rpc.Document) { taken = d.GetContent() }
	c.options.Sources = func() []Source { return []Source{{Name: "a", Deployment: source}} }
	c.step(t.Context())
	assert.Assert(t, bytes.Equal(taken, content))
	onWay := time.Duration(float64(source.bytes) / linkBytesPerSecond * float64(time.Second))
	assert.Assert(t, onWay < followTimeout, "%d bytes take %v", source.bytes, onWay)
}

// What a source sends is no document: the one in force stays, and another source is
// asked.
func TestADocumentThatCannotBeUnpackedIsNotTaken(t *testing.T) {
	damaged := func(*rpc.FollowRequest) (*rpc.FollowAnswer, error) {
		return &rpc.FollowAnswer{
			Documents: []*rpc.Document{{Name: "d", Number: 5}},
			Packed:    map[string][]byte{"d": []byte("no gzip")},
		}, nil
	}
	c, taken := follower(&scriptedSource{answer: damaged}, &scriptedSource{answer: documents(4, false)})
	c.step(t.Context())
	c.step(t.Context())
	assert.DeepEqual(t, *taken, []uint64{4})
}

// BenchmarkPack compresses the largest document; a change costs that once at each
// control instance.
func BenchmarkPack(b *testing.B) {
	content := largestDocument(b)
	b.SetBytes(int64(len(content)))
	for b.Loop() {
		packed, err := compressed(content)
		assert.NilError(b, err)
		b.ReportMetric(float64(len(content))/float64(len(packed)), "ratio")
	}
}
