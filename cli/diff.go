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

// formatChanges formats changed items with the keys and values of the declaration
// files. An added item is one line that starts with "+", a removed one a line
// with "-". A changed item has one line with "~" for each key that differs.
func formatChanges(changes []configuration.ItemChange) []string {
	lines := []string{}
	for _, c := range changes {
		lines = append(lines, formatItemChange(c)...)
	}
	return lines
}

// formatItemChange formats the change of one item. An item that cannot be decoded,
// for example one of an unknown kind, is formatted by its String method.
func formatItemChange(c configuration.ItemChange) []string {
	before, errBefore := decodeItemFields(c.Key.Kind, c.Before)
	after, errAfter := decodeItemFields(c.Key.Kind, c.After)
	if errBefore != nil || errAfter != nil {
		return []string{c.String()}
	}
	title := configuration.KindName(c.Key.Kind) + " " + c.Key.Name
	switch {
	case c.Before == "":
		return []string{"+ " + title + ": " + formatFields(after)}
	case c.After == "":
		return []string{"- " + title}
	}
	return formatFieldChanges(title, before, after)
}

// formatFieldChanges returns a line for each field that differs: changed and added
// fields in the order of after, then removed fields in the order of before.
func formatFieldChanges(title string, before, after []settings.Field) []string {
	var lines []string
	oldValues := make(map[string]string)
	for _, f := range before {
		oldValues[f.Key] = f.Value
	}
	for _, f := range after {
		if oldValue, existed := oldValues[f.Key]; !existed || oldValue != f.Value {
			lines = append(lines, fmt.Sprintf("~ %s: %s: %s -> %s", title, f.Key, valueOrNone(oldValue), f.Value))
		}
		delete(oldValues, f.Key)
	}
	for _, f := range before {
		if oldValue, removed := oldValues[f.Key]; removed {
			lines = append(lines, fmt.Sprintf("~ %s: %s: %s -> (none)", title, f.Key, oldValue))
		}
	}
	return lines
}

func valueOrNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}

// formatFields joins the fields of an item except its name, which the title shows.
func formatFields(fields []settings.Field) string {
	texts := make([]string, 0, len(fields))
	for _, f := range fields {
		if f.Key != "name" {
			texts = append(texts, f.Key+": "+f.Value)
		}
	}
	return strings.Join(texts, ", ")
}

// unknownKindError reports an item of a kind that has no declaration fields in
// this version.
type unknownKindError struct{ Kind rpc.ItemKind }

// Error implements error; the text contains the kind.
func (e *unknownKindError) Error() string {
	return "items of kind " + e.Kind.String() + " have no fields"
}

// decodeItemFields decodes the body of an item into the fields of its declaration.
// An empty body has none.
func decodeItemFields(kind rpc.ItemKind, body string) ([]settings.Field, error) {
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
	return nil, &unknownKindError{Kind: kind}
}

// decodeFields decodes a JSON body as T and converts it to fields.
func decodeFields[T any](body string, toFields func(*T) []settings.Field) ([]settings.Field, error) {
	if body == "" {
		return nil, nil
	}
	var row T
	if err := json.Unmarshal([]byte(body), &row); err != nil {
		return nil, trace.Wrap(err)
	}
	return toFields(&row), nil
}

// decodeConfiguration decodes the items of a response into a configuration with
// its revision.
func decodeConfiguration(answer *rpc.ConfigurationAnswer) (tables.Configuration, error) {
	revision := tables.Revision(answer.GetRevision().GetNumber())
	return configuration.NewContent(answer.GetItems()).Decode(revision)
}
