package configuration

import (
	"fmt"

	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// ItemChange is one item that differs between two configurations. Before is empty
// for an added item and After for a removed one; both are JSON.
type ItemChange struct {
	Key    ItemKey
	Before string
	After  string
}

// String says in one line what becomes of the item.
func (c ItemChange) String() string {
	switch {
	case c.Before == "":
		return fmt.Sprintf("+ %s %s %s", KindName(c.Key.Kind), c.Key.Name, c.After)
	case c.After == "":
		return fmt.Sprintf("- %s %s %s", KindName(c.Key.Kind), c.Key.Name, c.Before)
	default:
		return fmt.Sprintf("~ %s %s %s -> %s", KindName(c.Key.Kind), c.Key.Name, c.Before, c.After)
	}
}

var kindWords = map[rpc.ItemKind]string{
	rpc.ItemKind_ITEM_SETTINGS:     "settings",
	rpc.ItemKind_ITEM_PROFILE:      "profile",
	rpc.ItemKind_ITEM_ORGANISATION: "organisation",
	rpc.ItemKind_ITEM_MODEL:        "model",
	rpc.ItemKind_ITEM_ENDPOINT:     "endpoint",
	rpc.ItemKind_ITEM_LIFE:         "life",
}

// KindName is the word that operators know a kind of item by.
func KindName(kind rpc.ItemKind) string { return kindWords[kind] }

// Diff returns the items that differ between two configurations, ordered by
// kind and name. Lives of endpoints are not declared and not compared.
func Diff(from, to tables.Configuration) ([]ItemChange, error) {
	before, err := Encode(from)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	after, err := Encode(to)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return DiffContents(NewContent(before), NewContent(after)), nil
}

// DiffContents is Diff for contents.
func DiffContents(from, to *Content) []ItemChange {
	var changes []ItemChange
	for _, item := range ChangedItems(from, to) {
		name := ItemKey{item.Kind, item.Name}
		changes = append(changes, ItemChange{
			Key:    name,
			Before: string(from.Body(name)),
			After:  string(item.Body),
		})
	}
	return changes
}
