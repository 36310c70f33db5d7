package cli

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/control/configuration"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/settings"
	"github.com/carawaystile/carawaystile/tables"
)

// differenceLines tells changed items in the words of the declarations: a line
// for each added or removed item, and for a changed one a line for each key
// that differs.
func differenceLines(changes []configuration.ItemChange) []string {
	lines := []string{}
	for _, c := range changes {
		lines = append(lines, changeLines(c)...)
	}
	return lines
}

func changeLines(c configuration.ItemChange) []string {
	before, errBefore := declaredFields(c.Key.Kind, c.Before)
	after, errAfter := declaredFields(c.Key.Kind, c.After)
	if errBefore != nil || errAfter != nil {
		return []string{c.String()}
	}
	title := configuration.KindName(c.Key.Kind) + " " + c.Key.Name
	switch {
	case c.Before == "":
		return []string{"+ " + title + ": " + joined(after)}
	case c.After == "":
		return []string{"- " + title}
	}
	return keyLines(title, before, after)
}

func keyLines(title string, before, after []settings.Field) []string {
	var lines []string
	old := make(map[string]string)
	for _, f := range before {
		old[f.Key] = f.Value
	}
	for _, f := range after {
		if was, had := old[f.Key]; !had || was != f.Value {
			lines = append(lines, fmt.Sprintf("~ %s: %s: %s -> %s", title, f.Key, orNone(was), f.Value))
		}
		delete(old, f.Key)
	}
	for _, f := range before {
		if was, left := old[f.Key]; left {
			lines = append(lines, fmt.Sprintf("~ %s: %s: %s -> (none)", title, f.Key, was))
		}
	}
	return lines
}

func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}

func joined(fields []settings.Field) string {
	texts := make([]string, 0, len(fields))
	for _, f := range fields {
		if f.Key != "name" {
			texts = append(texts, f.Key+": "+f.Value)
		}
	}
	return strings.Join(texts, ", ")
}

// unreadableItem means that an item has a kind or body this version does not
// know.
type unreadableItem struct{ Kind rpc.ItemKind }

// Error names the kind.
func (e *unreadableItem) Error() string {
	return "items of kind " + e.Kind.String() + " have no fields"
}

// declaredFields reads the body of an item as the lines of its declaration.
func declaredFields(kind rpc.ItemKind, body string) ([]settings.Field, error) {
	switch kind {
	case rpc.ItemKind_ITEM_PROFILE:
		return decodeFields(body, settings.ProfileFields)
	case rpc.ItemKind_ITEM_ORGANISATION:
		return decodeFields(body, settings.OrganisationFields)
	case rpc.ItemKind_ITEM_MODEL:
		return decodeFields(body, settings.ModelFields)
	case rpc.ItemKind_ITEM_ENDPOINT:
		return decodeFields(body, settings.EndpointFields)
	}
	return nil, &unreadableItem{Kind: kind}
}

func decodeFields[T any](body string, of func(*T) []settings.Field) ([]settings.Field, error) {
	if body == "" {
		return nil, nil
	}
	var row T
	if err := json.Unmarshal([]byte(body), &row); err != nil {
		return nil, trace.Wrap(err)
	}
	return of(&row), nil
}

// decodeItems reads items as a configuration.
func decodeItems(answer *rpc.ConfigurationAnswer) (tables.Configuration, error) {
	revision := tables.Revision(answer.GetRevision().GetNumber())
	return configuration.NewContent(answer.GetItems()).Decode(revision)
}
