package configuration

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// settingsName is the name of the single item that holds the settings that belong
// to no other item.
const settingsName = "settings"

// settings is the body of the settings item, encoded as JSON. WeightLoads is the
// maximum number of concurrent weight loads.
type settings struct {
	WeightLoads int
}

// Life is the body of a life item, encoded as JSON. Life is the current incarnation
// number of an endpoint; Leaving is set while the endpoint is out of use.
type Life struct {
	Life    uint64
	Leaving bool
}

// InvalidItemError means that the body of an item cannot be encoded or decoded.
type InvalidItemError struct {
	Key   ItemKey
	Cause error
}

// Error names the item and the cause.
func (e *InvalidItemError) Error() string {
	return fmt.Sprintf("item %s %q cannot be read: %v", e.Key.Kind, e.Key.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *InvalidItemError) Unwrap() error { return e.Cause }

// Encode returns the items of a configuration, ordered by kind and name. The
// revision and the lives of endpoints are not declared, and are left out.
func Encode(configuration tables.Configuration) ([]*rpc.Item, error) {
	var e itemEncoder
	e.add(rpc.ItemKind_ITEM_SETTINGS, settingsName, settings{WeightLoads: configuration.WeightLoads})
	for _, profile := range configuration.Profiles {
		e.add(rpc.ItemKind_ITEM_PROFILE, string(profile.Name), profile)
	}
	for _, organisation := range configuration.Organisations {
		e.add(rpc.ItemKind_ITEM_ORGANISATION, string(organisation.ID), organisation)
	}
	for _, model := range configuration.Models {
		e.add(rpc.ItemKind_ITEM_MODEL, string(model.Name), model)
	}
	for _, endpoint := range configuration.Endpoints {
		endpoint.Life, endpoint.Leaving = 0, false
		e.add(rpc.ItemKind_ITEM_ENDPOINT, string(endpoint.ID), endpoint)
	}
	sortItems(e.items)
	return e.items, trace.Wrap(e.err)
}

// itemEncoder collects encoded items and the first error.
type itemEncoder struct {
	items []*rpc.Item
	err   error
}

// add encodes one item as JSON.
func (e *itemEncoder) add(kind rpc.ItemKind, name string, value any) {
	body, err := json.Marshal(value)
	if err != nil && e.err == nil {
		e.err = &InvalidItemError{Key: ItemKey{kind, name}, Cause: err}
	}
	e.items = append(e.items, &rpc.Item{Kind: kind, Name: name, Body: body})
}

// EncodeLife returns the life item of an endpoint.
func EncodeLife(endpoint tables.EndpointID, life Life) (*rpc.Item, error) {
	var e itemEncoder
	e.add(rpc.ItemKind_ITEM_LIFE, string(endpoint), life)
	return e.items[0], trace.Wrap(e.err)
}

// firstLife is the life of an endpoint without a life item: it has never left.
const firstLife = 1

// LifeOf returns the current life of an endpoint.
func (c *Content) LifeOf(endpoint tables.EndpointID) (Life, error) {
	life := Life{Life: firstLife}
	name := ItemKey{rpc.ItemKind_ITEM_LIFE, string(endpoint)}
	body := c.bodies[name]
	if body == nil {
		return life, nil
	}
	if err := json.Unmarshal(body, &life); err != nil {
		return life, trace.Wrap(&InvalidItemError{Key: name, Cause: err})
	}
	return life, nil
}

// DeclaresEndpoint reports whether the content declares the endpoint.
func (c *Content) DeclaresEndpoint(endpoint tables.EndpointID) bool {
	return c.bodies[ItemKey{rpc.ItemKind_ITEM_ENDPOINT, string(endpoint)}] != nil
}

// WeightLoadLimit returns the maximum number of concurrent weight loads, at least
// 1.
func (c *Content) WeightLoadLimit() int {
	var s settings
	_ = json.Unmarshal(c.bodies[ItemKey{rpc.ItemKind_ITEM_SETTINGS, settingsName}], &s)
	return max(1, s.WeightLoads)
}

// Decode returns the content as a configuration with the given revision. Its lists
// are ordered by name.
func (c *Content) Decode(revision tables.Revision) (tables.Configuration, error) {
	configuration := tables.Configuration{Revision: revision}
	for _, item := range c.Items() {
		if err := c.decodeItem(item, &configuration); err != nil {
			return tables.Configuration{}, trace.Wrap(err)
		}
	}
	return configuration, nil
}

// decodeItem decodes one item into its field of the configuration. Endpoints get
// their current life.
func (c *Content) decodeItem(item *rpc.Item, into *tables.Configuration) error {
	switch item.Kind {
	case rpc.ItemKind_ITEM_SETTINGS:
		into.WeightLoads = c.WeightLoadLimit()
	case rpc.ItemKind_ITEM_PROFILE:
		return appendDecoded(item, &into.Profiles)
	case rpc.ItemKind_ITEM_ORGANISATION:
		return appendDecoded(item, &into.Organisations)
	case rpc.ItemKind_ITEM_MODEL:
		return appendDecoded(item, &into.Models)
	case rpc.ItemKind_ITEM_ENDPOINT:
		if err := appendDecoded(item, &into.Endpoints); err != nil {
			return err
		}
		endpoint := &into.Endpoints[len(into.Endpoints)-1]
		life, err := c.LifeOf(endpoint.ID)
		endpoint.Life, endpoint.Leaving = life.Life, life.Leaving
		return err
	}
	return nil
}

// appendDecoded decodes the body of an item and appends the value to the list.
func appendDecoded[T any](item *rpc.Item, list *[]T) error {
	var value T
	if err := json.Unmarshal(item.Body, &value); err != nil {
		return &InvalidItemError{Key: ItemKey{item.Kind, item.Name}, Cause: err}
	}
	*list = append(*list, value)
	return nil
}

// Validate returns an error for the first item that cannot be decoded or occurs
// twice. Items are validated before they are proposed to the quorum: an instance
// that cannot decode one item could not apply the whole revision.
func Validate(items []*rpc.Item) error {
	names := make([]ItemKey, 0, len(items))
	for _, item := range items {
		names = append(names, ItemKey{item.GetKind(), item.GetName()})
	}
	slices.SortFunc(names, compareKeys)
	for i := 1; i < len(names); i++ {
		if names[i] == names[i-1] {
			return trace.Wrap(&DuplicateItemError{Key: names[i]})
		}
	}
	_, err := NewContent(items).Decode(0)
	return trace.Wrap(err)
}

// DuplicateItemError means that a configuration declares the same item twice.
type DuplicateItemError struct{ Key ItemKey }

// Error names the item.
func (e *DuplicateItemError) Error() string {
	return fmt.Sprintf("item %s %q is declared twice", e.Key.Kind, e.Key.Name)
}
