package state

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/carawaystile/carawaystile/control/configuration"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// requestID is what an operator calls a request. Ids of two operators do not
// meet.
type requestID struct {
	operator string
	request  string
}

// configurations holds the configuration in force, the history that led to it
// and the requests whose first answer is remembered.
type configurations struct {
	limits       Limits
	revision     uint64
	content      *configuration.Content
	history      []*rpc.Revision
	historyBytes int
	requests     map[requestID]*rpc.RememberedRequest
	// order lists remembered requests, oldest first.
	order []requestID
}

func newConfigurations(limits Limits) configurations {
	return configurations{
		limits:   limits,
		content:  configuration.NewContent(nil),
		requests: map[requestID]*rpc.RememberedRequest{},
	}
}

// apply is compare-and-set on the revision.
//
// Two operators may read one revision and send different contents for the next.
// Without the comparison the second would silently undo the first. The entry
// that comes first in the log wins; the other one is told who won.
func (c *configurations) apply(request *rpc.ApplyConfiguration, wall int64) *rpc.Result {
	id := requestID{request.GetOperator(), request.GetRequest()}
	if !id.valid() {
		return refused(rpc.RefusalReason_REFUSED_MALFORMED)
	}
	digest := request.GetDigest()
	if known := c.requests[id]; known != nil {
		return c.firstAnswer(known, digest)
	}
	if request.GetBase() != c.revision {
		return c.conflict(id, digest, request.GetBase(), wall)
	}
	if !c.fits(request) {
		return refused(rpc.RefusalReason_REFUSED_MALFORMED)
	}
	if len(request.GetChanges()) > 0 {
		c.accept(id, request.GetChanges(), wall)
	}
	return c.accepted(id, digest, wall)
}

// fits says whether the changes lead from the configuration in force to the
// content that was asked for. They do not if they were worked out against
// another revision, or try to change lives.
func (c *configurations) fits(request *rpc.ApplyConfiguration) bool {
	seen := map[configuration.Name]bool{}
	for _, item := range request.GetChanges() {
		name := configuration.Name{Kind: item.GetKind(), Name: item.GetName()}
		if seen[name] || item.GetKind() == rpc.ItemKind_ITEM_LIFE {
			return false
		}
		seen[name] = true
	}
	return c.content.DeclaredAfter(request.GetChanges()) == request.GetDigest()
}

// changeLife lets an endpoint leave or join. It needs no base revision: it
// touches one item only, and a leave must not lose against an unrelated change.
func (c *configurations) changeLife(request *rpc.ChangeLife, wall int64) *rpc.Result {
	id := requestID{request.GetOperator(), request.GetRequest()}
	if !id.valid() {
		return refused(rpc.RefusalReason_REFUSED_MALFORMED)
	}
	digest := digestOfLife(request)
	if known := c.requests[id]; known != nil {
		return c.firstAnswer(known, digest)
	}
	endpoint := tables.EndpointID(request.GetEndpoint())
	life, err := c.content.LifeOf(endpoint)
	if err != nil {
		return refused(rpc.RefusalReason_REFUSED_MALFORMED)
	}
	if !c.content.Declares(endpoint) {
		return refused(rpc.RefusalReason_REFUSED_UNKNOWN_ENDPOINT)
	}
	// A request for an earlier life comes late: the endpoint has joined again
	// since, and a leave meant for its former life must not stop the new one.
	if request.GetLife() != 0 && request.GetLife() != life.Life {
		return refused(rpc.RefusalReason_REFUSED_OLD_LIFE)
	}
	next := configuration.Life{Life: life.Life, Leaving: true}
	if request.GetJoin() {
		next = configuration.Life{Life: life.Life + 1}
	}
	if next != life {
		item, err := configuration.EncodeLife(endpoint, next)
		if err != nil {
			return refused(rpc.RefusalReason_REFUSED_MALFORMED)
		}
		c.accept(id, []*rpc.Item{item}, wall)
	}
	return c.accepted(id, digest, wall)
}

func (c *configurations) accept(id requestID, changes []*rpc.Item, wall int64) {
	c.revision++
	c.content.Apply(changes)
	revision := &rpc.Revision{
		Number:   c.revision,
		Operator: id.operator,
		Request:  id.request,
		Wall:     wall,
		Changes:  changes,
	}
	c.history = append(c.history, revision)
	c.historyBytes += proto.Size(revision)
	for len(c.history) > 1 && (len(c.history) > c.limits.MaxRevisions || c.historyBytes > c.limits.MaxHistoryBytes) {
		c.historyBytes -= proto.Size(c.history[0])
		c.history = c.history[1:]
	}
}

func (c *configurations) accepted(id requestID, digest uint64, wall int64) *rpc.Result {
	known := &rpc.RememberedRequest{
		Operator: id.operator,
		Request:  id.request,
		Digest:   digest,
		Revision: c.revision,
		Wall:     wall,
	}
	c.remember(id, known)
	return acceptedResult(known, false)
}

func (c *configurations) conflict(id requestID, digest, base uint64, wall int64) *rpc.Result {
	known := &rpc.RememberedRequest{
		Operator: id.operator,
		Request:  id.request,
		Digest:   digest,
		InForce:  c.revision,
		Winner:   c.winnerOver(base),
		Wall:     wall,
	}
	c.remember(id, known)
	return conflictResult(known, false)
}

// winnerOver returns the revision that followed base, or the oldest one known
// after it, without its changes.
func (c *configurations) winnerOver(base uint64) *rpc.Revision {
	for _, revision := range c.history {
		if revision.GetNumber() > base {
			return describe(revision)
		}
	}
	if len(c.history) > 0 {
		return describe(c.history[len(c.history)-1])
	}
	return &rpc.Revision{}
}

func describe(revision *rpc.Revision) *rpc.Revision {
	return &rpc.Revision{
		Number:   revision.GetNumber(),
		Operator: revision.GetOperator(),
		Request:  revision.GetRequest(),
		Wall:     revision.GetWall(),
	}
}

// remember keeps the first answer of a request. When the request is forgotten
// again, a resend meets the comparison of revisions and loses, so that nothing
// is ever put in force twice.
func (c *configurations) remember(id requestID, known *rpc.RememberedRequest) {
	c.requests[id] = known
	c.order = append(c.order, id)
	for len(c.order) > c.limits.MaxRememberedRequests {
		delete(c.requests, c.order[0])
		c.order = c.order[1:]
	}
}

func (c *configurations) firstAnswer(known *rpc.RememberedRequest, digest uint64) *rpc.Result {
	if known.GetDigest() != digest {
		return refused(rpc.RefusalReason_REFUSED_REQUEST_REUSED)
	}
	if known.GetWinner() != nil {
		return conflictResult(known, true)
	}
	return acceptedResult(known, true)
}

func acceptedResult(known *rpc.RememberedRequest, resent bool) *rpc.Result {
	accepted := &rpc.Accepted{
		Revision: &rpc.Revision{
			Number:   known.GetRevision(),
			Operator: known.GetOperator(),
			Request:  known.GetRequest(),
			Wall:     known.GetWall(),
		},
		Resent: resent,
	}
	return &rpc.Result{Answer: &rpc.Result_Accepted{Accepted: accepted}}
}

func conflictResult(known *rpc.RememberedRequest, resent bool) *rpc.Result {
	conflict := &rpc.Conflict{
		InForce: known.GetInForce(),
		Winner:  known.GetWinner(),
		Resent:  resent,
	}
	return &rpc.Result{Answer: &rpc.Result_Conflict{Conflict: conflict}}
}

func (c *configurations) changesSince(revision uint64) ([]*rpc.Item, bool) {
	if revision == c.revision {
		return nil, true
	}
	if revision > c.revision || len(c.history) == 0 || revision+1 < c.history[0].GetNumber() {
		return nil, false
	}
	var changes []*rpc.Item
	for _, r := range c.history[revision+1-c.history[0].GetNumber():] {
		changes = append(changes, r.GetChanges()...)
	}
	return changes, true
}

func (c *configurations) save(snapshot *rpc.Snapshot) {
	snapshot.Revision = c.revision
	snapshot.Items = c.content.Items()
	snapshot.History = slices.Clone(c.history)
	for _, id := range c.order {
		snapshot.Requests = append(snapshot.Requests, c.requests[id])
	}
}

func (c *configurations) load(snapshot *rpc.Snapshot) {
	c.revision = snapshot.GetRevision()
	c.content = configuration.NewContent(snapshot.GetItems())
	c.history = snapshot.GetHistory()
	for _, revision := range c.history {
		c.historyBytes += proto.Size(revision)
	}
	for _, known := range snapshot.GetRequests() {
		c.remember(requestID{known.GetOperator(), known.GetRequest()}, known)
	}
}

func (id requestID) valid() bool {
	return id.request != "" && len(id.request) <= maxNameBytes && len(id.operator) <= maxNameBytes
}

func digestOfLife(request *rpc.ChangeLife) uint64 {
	var d xxhash.Digest
	d.Reset()
	var numbers [9]byte
	binary.LittleEndian.PutUint64(numbers[:8], request.GetLife())
	if request.GetJoin() {
		numbers[8] = 1
	}
	_, _ = d.Write(numbers[:])
	_, _ = d.WriteString(request.GetEndpoint())
	return d.Sum64()
}
