// Package configuration holds the declarations of operators as named items, so
// that a change of one profile costs one item in the replicated log, in the
// history and on the way to every instance, whatever the size of the rest.
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

func compareNames(a, b ItemKey) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// Content is all items of one configuration. It is not safe for concurrent
// use; the bodies of its items are never modified.
type Content struct {
	bodies map[ItemKey][]byte
	// declared sums the items that operators declare, lives those that only
	// leaving and joining change.
	declared uint64
	lives    uint64
}

// NewContent returns a content with the given items.
func NewContent(items []*rpc.Item) *Content {
	c := &Content{bodies: make(map[ItemKey][]byte, len(items))}
	c.Apply(items)
	return c
}

// Apply puts the items, and removes those that have an empty body.
func (c *Content) Apply(changes []*rpc.Item) {
	for _, item := range changes {
		c.put(ItemKey{Kind: item.GetKind(), Name: item.GetName()}, item.GetBody())
	}
}

func (c *Content) put(name ItemKey, body []byte) {
	sum := &c.declared
	if name.Kind == rpc.ItemKind_ITEM_LIFE {
		sum = &c.lives
	}
	*sum += digestOf(name, body) - digestOf(name, c.bodies[name])
	if len(body) == 0 {
		delete(c.bodies, name)
		return
	}
	c.bodies[name] = body
}

// Body returns the body of an item, nil if there is none.
func (c *Content) Body(name ItemKey) []byte { return c.bodies[name] }

// Len returns the number of items.
func (c *Content) Len() int { return len(c.bodies) }

// Digest identifies the content. It is a sum over the items, so that a change
// costs as little as the items in it. A follower whose digest differs after a
// change has lost one, and asks for the whole content.
func (c *Content) Digest() uint64 { return c.declared + c.lives }

// DeclaredDigest is the digest of what operators declare, without the lives.
func (c *Content) DeclaredDigest() uint64 { return c.declared }

// DeclaredDigestAfter is what Declared would be after the changes, each item once.
func (c *Content) DeclaredDigestAfter(changes []*rpc.Item) uint64 {
	sum := c.declared
	for _, item := range changes {
		name := ItemKey{item.GetKind(), item.GetName()}
		sum += digestOf(name, item.GetBody()) - digestOf(name, c.bodies[name])
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

// Clone returns a copy that can be changed on its own.
func (c *Content) Clone() *Content {
	bodies := make(map[ItemKey][]byte, len(c.bodies))
	for name, body := range c.bodies {
		bodies[name] = body
	}
	return &Content{bodies: bodies, declared: c.declared, lives: c.lives}
}

// ChangedItems returns the items that turn from into to, removed ones with an empty
// body. Lives of endpoints are left out: only EndpointLeave and EndpointJoin
// change them, so that an apply cannot undo a leave.
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

// sortItems orders items, since the order in a map differs from run to run and
// a log entry must not.
func sortItems(items []*rpc.Item) {
	slices.SortFunc(items, func(a, b *rpc.Item) int {
		return compareNames(ItemKey{a.Kind, a.Name}, ItemKey{b.Kind, b.Name})
	})
}

// digestOf returns the digest of one item, zero for one that is not there.
func digestOf(name ItemKey, body []byte) uint64 {
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
