// Package configuration represents the operators' declarations as a key-value set
// of items, one for each profile, organisation, model and endpoint. A change of one
// profile therefore costs one item in the replicated log, in the history and in
// transfers to instances, independent of the size of the configuration.
package configuration

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaystile/carawaystile/rpc"
)

// ItemKey identifies an item within a configuration.
type ItemKey struct {
	Kind rpc.ItemKind
	Name string
}

// compareKeys orders item keys by kind, then by name.
func compareKeys(a, b ItemKey) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// Content is the set of items of one configuration, with an incremental digest. It
// is not safe for concurrent use; the bodies of its items are never modified.
type Content struct {
	bodies map[ItemKey][]byte
	// declaredDigest is the sum of the digests of the items that operators declare.
	// lifeDigest is that of the life items, which only EndpointLeave and
	// EndpointJoin change.
	declaredDigest uint64
	lifeDigest     uint64
}

// NewContent returns a Content that consists of the given items.
func NewContent(items []*rpc.Item) *Content {
	c := &Content{bodies: make(map[ItemKey][]byte, len(items))}
	c.Apply(items)
	return c
}

// Apply adds or replaces the given items, and removes those with an empty body.
func (c *Content) Apply(changes []*rpc.Item) {
	for _, item := range changes {
		c.put(ItemKey{Kind: item.GetKind(), Name: item.GetName()}, item.GetBody())
	}
}

// put sets the body of one item, or removes the item if the body is empty. It
// updates the digests incrementally.
func (c *Content) put(name ItemKey, body []byte) {
	sum := &c.declaredDigest
	if name.Kind == rpc.ItemKind_ITEM_LIFE {
		sum = &c.lifeDigest
	}
	*sum += itemDigest(name, body) - itemDigest(name, c.bodies[name])
	if len(body) == 0 {
		delete(c.bodies, name)
		return
	}
	c.bodies[name] = body
}

// Body returns the body of an item, or nil if there is no such item.
func (c *Content) Body(name ItemKey) []byte { return c.bodies[name] }

// Len returns the number of items.
func (c *Content) Len() int { return len(c.bodies) }

// Digest returns a checksum of all items. It is the sum of the items' digests, so
// that an update costs only as much as the changed items. A follower whose digest
// differs after an update has missed a change, and requests the complete content.
func (c *Content) Digest() uint64 { return c.declaredDigest + c.lifeDigest }

// DeclaredDigest returns the checksum of the declared items, without the life
// items.
func (c *Content) DeclaredDigest() uint64 { return c.declaredDigest }

// DeclaredDigestAfter returns the DeclaredDigest that would result from the
// changes. The changes hold each item at most once.
func (c *Content) DeclaredDigestAfter(changes []*rpc.Item) uint64 {
	sum := c.declaredDigest
	for _, item := range changes {
		name := ItemKey{item.GetKind(), item.GetName()}
		sum += itemDigest(name, item.GetBody()) - itemDigest(name, c.bodies[name])
	}
	return sum
}

// Items returns all items, ordered by kind and name.
func (c *Content) Items() []*rpc.Item {
	items := make([]*rpc.Item, 0, len(c.bodies))
	for name, body := range c.bodies {
		items = append(items, &rpc.Item{Kind: name.Kind, Name: name.Name, Body: body})
	}
	sortItems(items)
	return items
}

// Clone returns a copy that can be modified independently. Item bodies are shared.
func (c *Content) Clone() *Content {
	bodies := make(map[ItemKey][]byte, len(c.bodies))
	for name, body := range c.bodies {
		bodies[name] = body
	}
	return &Content{bodies: bodies, declaredDigest: c.declaredDigest, lifeDigest: c.lifeDigest}
}

// ChangedItems returns the items whose application turns from into to; removed
// items have an empty body. Life items are excluded: only EndpointLeave and
// EndpointJoin change them, so that an apply cannot undo a leave.
func ChangedItems(from, to *Content) []*rpc.Item {
	var changes []*rpc.Item
	for name, body := range to.bodies {
		if name.Kind != rpc.ItemKind_ITEM_LIFE && !bytes.Equal(from.bodies[name], body) {
			changes = append(changes, &rpc.Item{Kind: name.Kind, Name: name.Name, Body: body})
		}
	}
	for name := range from.bodies {
		if name.Kind != rpc.ItemKind_ITEM_LIFE && to.bodies[name] == nil {
			changes = append(changes, &rpc.Item{Kind: name.Kind, Name: name.Name})
		}
	}
	sortItems(changes)
	return changes
}

// sortItems orders items by key. Map iteration order differs from run to run, and a
// log entry must be deterministic.
func sortItems(items []*rpc.Item) {
	slices.SortFunc(items, func(a, b *rpc.Item) int {
		return compareKeys(ItemKey{a.Kind, a.Name}, ItemKey{b.Kind, b.Name})
	})
}

// itemDigest returns the checksum of one item, or zero if the body is empty.
func itemDigest(name ItemKey, body []byte) uint64 {
	if len(body) == 0 {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	var head [12]byte
	binary.LittleEndian.PutUint32(head[:4], uint32(name.Kind))
	binary.LittleEndian.PutUint64(head[4:], uint64(len(name.Name)))
	_, _ = d.Write(head[:])
	_, _ = d.WriteString(name.Name)
	_, _ = d.Write(body)
	return d.Sum64()
}
