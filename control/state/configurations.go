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

// requestID identifies an operator's request. Request IDs are scoped to the
// operator.
type requestID struct {
	operator string
	request  string
}

// configurationStore is a versioned store of the configuration, updated by
// compare-and-set. It holds the configuration in force, the history that led to
// it, and the first answers of recent requests for deduplication.
type configurationStore struct {
	limits       Limits
	revision     uint64
	content      *configuration.Content
	history      []*rpc.Revision
	historyBytes int
	requests     map[requestID]*rpc.RememberedRequest
	// requestOrder lists the remembered requests, oldest first, for eviction.
	requestOrder []requestID
}

func newConfigurationStore(limits Limits) configurationStore {
	return configurationStore{
		limits:   limits,
		content:  configuration.NewContent(nil),
		requests: map[requestID]*rpc.RememberedRequest{},
	}
}

// apply replaces the configuration by compare-and-set on the revision.
//
// Two operators may read the same revision and submit different contents for
// the next one. Without the comparison the second would silently undo the
// first. The first entry in the log wins; the other request gets a conflict
// that names the winner.
func (c *configurationStore) apply(request *rpc.ApplyConfiguration, wall int64) *rpc.Result {
	id := requestID{request.GetOperator(), request.GetRequest()}
	if !id.valid() {
		return refused(rpc.RefusalReason_REFUSED_MALFORMED)
	}
	digest := request.GetDigest()
	if known := c.requests[id]; known != nil {
		return c.replayAnswer(known, digest)
	}
	if request.GetBase() != c.revision {
		return c.recordConflict(id, digest, request.GetBase(), wall)
	}
	if !c.changesMatchDigest(request) {
		return refused(rpc.RefusalReason_REFUSED_MALFORMED)
	}
	if len(request.GetChanges()) > 0 {
		c.commit(id, request.GetChanges(), wall)
	}
	return c.recordAccepted(id, digest, wall)
}

// changesMatchDigest reports whether the changes lead from the configuration in
// force to the content that the request's digest stands for. They do not if
// they were computed against another revision, or if they try to change lives.
func (c *configurationStore) changesMatchDigest(request *rpc.ApplyConfiguration) bool {
	seen := map[configuration.ItemKey]bool{}
	for _, item := range request.GetChanges() {
		name := configuration.ItemKey{Kind: item.GetKind(), Name: item.GetName()}
		if seen[name] || item.GetKind() == rpc.ItemKind_ITEM_LIFE {
			return false
		}
		seen[name] = true
	}
	return c.content.DeclaredDigestAfter(request.GetChanges()) == request.GetDigest()
}

// changeLife lets an endpoint leave or join. It is not compared with a base
// revision: it changes only one item, and a leave must not fail because of an
// unrelated change.
func (c *configurationStore) changeLife(request *rpc.ChangeLife, wall int64) *rpc.Result {
	id := requestID{request.GetOperator(), request.GetRequest()}
	if !id.valid() {
		return refused(rpc.RefusalReason_REFUSED_MALFORMED)
	}
	digest := lifeChangeDigest(request)
	if known := c.requests[id]; known != nil {
		return c.replayAnswer(known, digest)
	}
	endpoint := tables.EndpointID(request.GetEndpoint())
	life, err := c.content.LifeOf(endpoint)
	if err != nil {
		return refused(rpc.RefusalReason_REFUSED_MALFORMED)
	}
	if !c.content.DeclaresEndpoint(endpoint) {
		return refused(rpc.RefusalReason_REFUSED_UNKNOWN_ENDPOINT)
	}
	// A request for an earlier life is late: the endpoint has joined again
	// since, and a leave that was meant for its earlier life must not stop the
	// new one.
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
		c.commit(id, []*rpc.Item{item}, wall)
	}
	return c.recordAccepted(id, digest, wall)
}

// commit puts the changes in force as the next revision and truncates the history
// to its limits.
func (c *configurationStore) commit(id requestID, changes []*rpc.Item, wall int64) {
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

// recordAccepted stores an acceptance as the first answer of a request and returns
// it.
func (c *configurationStore) recordAccepted(id requestID, digest uint64, wall int64) *rpc.Result {
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

// recordConflict stores a conflict as the first answer of a request and returns it.
func (c *configurationStore) recordConflict(id requestID, digest, base uint64, wall int64) *rpc.Result {
	known := &rpc.RememberedRequest{
		Operator: id.operator,
		Request:  id.request,
		Digest:   digest,
		InForce:  c.revision,
		Winner:   c.firstRevisionAfter(base),
		Wall:     wall,
	}
	c.remember(id, known)
	return conflictResult(known, false)
}

// firstRevisionAfter returns the earliest retained revision after base, or the
// newest one if there is none, without its changes.
func (c *configurationStore) firstRevisionAfter(base uint64) *rpc.Revision {
	for _, revision := range c.history {
		if revision.GetNumber() > base {
			return withoutChanges(revision)
		}
	}
	if len(c.history) > 0 {
		return withoutChanges(c.history[len(c.history)-1])
	}
	return &rpc.Revision{}
}

// withoutChanges returns the metadata of a revision.
func withoutChanges(revision *rpc.Revision) *rpc.Revision {
	return &rpc.Revision{
		Number:   revision.GetNumber(),
		Operator: revision.GetOperator(),
		Request:  revision.GetRequest(),
		Wall:     revision.GetWall(),
	}
}

// remember stores the first answer of a request and evicts the oldest ones
// above the limit. A request that is resent after its eviction fails the
// comparison of revisions, so no content takes effect twice.
func (c *configurationStore) remember(id requestID, known *rpc.RememberedRequest) {
	c.requests[id] = known
	c.requestOrder = append(c.requestOrder, id)
	for len(c.requestOrder) > c.limits.MaxRememberedRequests {
		delete(c.requests, c.requestOrder[0])
		c.requestOrder = c.requestOrder[1:]
	}
}

// replayAnswer repeats the first answer of a resent request. A request that reuses
// the ID of another one is refused.
func (c *configurationStore) replayAnswer(known *rpc.RememberedRequest, digest uint64) *rpc.Result {
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

func (c *configurationStore) changesSince(revision uint64) ([]*rpc.Item, bool) {
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

func (c *configurationStore) save(snapshot *rpc.Snapshot) {
	snapshot.Revision = c.revision
	snapshot.Items = c.content.Items()
	snapshot.History = slices.Clone(c.history)
	for _, id := range c.requestOrder {
		snapshot.Requests = append(snapshot.Requests, c.requests[id])
	}
}

func (c *configurationStore) restore(snapshot *rpc.Snapshot) {
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

// lifeChangeDigest hashes the contents of a request, so that a resend can be told
// from another request under the same ID.
func lifeChangeDigest(request *rpc.ChangeLife) uint64 {
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
