package configuration

import (
	"fmt"

	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// Change is one item that differs between two configurations. Before is empty
// for an added item and After for a removed one; both are JSON.
type Change struct {
	Name   Name
	Before string
	After  string
}

// String says in one line what becomes of the item.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return fmt.Sprintf("+ %s %s %s", KindWord(c.Name.Kind), c.Name.Name, c.After)
	case c.After == "":
		return fmt.Sprintf("- %s %s %s", KindWord(c.Name.Kind), c.Name.Name, c.Before)
	default:
		return fmt.Sprintf("~ %s %s %s -> %s", KindWord(c.Name.Kind), c.Name.Name, c.Before, c.After)
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

// KindWord is the word that operators know a kind of item by.
func KindWord(kind rpc.ItemKind) string { return kindWords[kind] }

// Diff returns the items that differ between two configurations, ordered by
// kind and name. Lives of endpoints are not declared and not compared.
func Diff(from, to tables.Configuration) ([]Change, error) {
	before, err := Encode(from)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	after, err := Encode(to)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return DiffContent(NewContent(before), NewContent(after)), nil
}

// DiffContent is Diff for contents.
func DiffContent(from, to *Content) []Change {
	var changes []Change
	for _, item := range Changes(from, to) {
		name := Name{item.Kind, item.Name}
		changes = append(changes, Change{
			Name:   name,
			Before: string(from.Body(name)),
			After:  string(item.Body),
		})
	}
	return changes
}
