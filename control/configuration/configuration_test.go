package configuration

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// drawConfiguration generates a configuration with up to four items of each kind.
func drawConfiguration(t *rapid.T) tables.Configuration {
	c := tables.Configuration{WeightLoads: rapid.IntRange(1, 3).Draw(t, "loads")}
	for i := range 4 {
		if !rapid.Bool().Draw(t, "declared") {
			continue
		}
		timeout := time.Duration(rapid.IntRange(1, 2).Draw(t, "timeout")) * time.Second
		c.Profiles = append(c.Profiles, tables.Profile{Name: tables.ProfileName(fmt.Sprint("p", i)), Timeout: timeout})
		c.Organisations = append(c.Organisations, tables.Organisation{
			ID: tables.OrganisationID(fmt.Sprint("o", i)), Share: 1, TokenHashes: []string{"h"},
		})
		c.Models = append(c.Models, tables.Model{Name: tables.ModelName(fmt.Sprint("m", i)), Weights: "w"})
		c.Endpoints = append(c.Endpoints, tables.Endpoint{ID: tables.EndpointID(fmt.Sprint("e", i)), Life: 1})
	}
	return c
}

// contentOf encodes a configuration.
func contentOf(t assert.TestingT, c tables.Configuration) *Content {
	items, err := Encode(c)
	assert.NilError(t, err)
	return NewContent(items)
}

// A configuration that changes in the round trip would be applied differently from
// what operators declared.
func TestEncodeDecodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfiguration(t)
		c.Revision = 7
		decoded, err := contentOf(t, c).Decode(7)
		assert.NilError(t, err)
		assert.Equal(t, fmt.Sprintf("%+v", decoded), fmt.Sprintf("%+v", c))
	})
}

// Followers apply incremental changes. If these did not result in the same content,
// instances would serve different configurations under the same revision. A
// declared change must also preserve the lives of endpoints.
func TestChangedItemsTransformContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := contentOf(t, drawConfiguration(t)), contentOf(t, drawConfiguration(t))
		life, err := EncodeLife("e1", Life{Life: 3, Leaving: true})
		assert.NilError(t, err)
		from.Apply([]*rpc.Item{life})
		changes := ChangedItems(from, to)
		assert.Equal(t, from.DeclaredDigestAfter(changes), to.DeclaredDigest())
		moved := from.Clone()
		moved.Apply(changes)
		assert.Equal(t, moved.DeclaredDigest(), to.DeclaredDigest())
		kept, err := moved.LifeOf("e1")
		assert.NilError(t, err)
		assert.Equal(t, kept, Life{Life: 3, Leaving: true})
		assert.Equal(t, len(ChangedItems(moved, to)), 0)
		assert.Equal(t, len(DiffContents(from, to)), len(changes))
	})
}

func TestDiffListsChangedItems(t *testing.T) {
	before := tables.Configuration{WeightLoads: 2, Profiles: []tables.Profile{{Name: "a"}, {Name: "b"}}}
	after := tables.Configuration{WeightLoads: 2, Profiles: []tables.Profile{{Name: "b", Hedge: true}, {Name: "c"}}}
	changes, err := Diff(before, after)
	assert.NilError(t, err)
	signs := ""
	for _, change := range changes {
		signs += change.String()[:len("+ profile x")] + "\n"
	}
	assert.Equal(t, signs, "- profile a\n~ profile b\n+ profile c\n")
}

func TestValidateRejectsDuplicateAndUndecodableItems(t *testing.T) {
	item := &rpc.Item{Kind: rpc.ItemKind_ITEM_PROFILE, Name: "p", Body: []byte(`{"Name":"p"}`)}
	assert.NilError(t, Validate([]*rpc.Item{item}))
	assert.ErrorContains(t, Validate([]*rpc.Item{item, item}), "declared twice")
	bad := &rpc.Item{Kind: rpc.ItemKind_ITEM_MODEL, Name: "m", Body: []byte(`{`)}
	assert.ErrorContains(t, Validate([]*rpc.Item{bad}), "cannot be read")
}
