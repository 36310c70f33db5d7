package configuration

import (
	"fmt"

	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// ItemChange is the difference of one item between two configurations. Before is
// empty for an added item and After for a removed one; otherwise both are the JSON
// of the item.
type ItemChange struct {
	Key    ItemKey
	Before string
	After  string
}

// String formats the change as one line of a diff: + for an added item, - for a
// removed one, ~ for a modified one.
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

// kindNames are the operator-facing names of the item kinds.
var kindNames = map[rpc.ItemKind]string{
	rpc.ItemKind_ITEM_SETTINGS:     "settings",
	rpc.ItemKind_ITEM_PROFILE:      "profile",
	rpc.ItemKind_ITEM_ORGANISATION: "organisation",
	rpc.ItemKind_ITEM_MODEL:        "model",
	rpc.ItemKind_ITEM_ENDPOINT:     "endpoint",
	rpc.ItemKind_ITEM_LIFE:         "life",
}

// KindName returns the operator-facing name of an item kind.
func KindName(kind rpc.ItemKind) string { return kindNames[kind] }

// Diff returns the items that differ between two configurations, ordered by kind
// and name. Life items are not declared, and therefore not compared.
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

// DiffContents is Diff for two Contents.
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
