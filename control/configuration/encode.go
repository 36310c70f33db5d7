package configuration

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// settingsName is the name of the one item that holds what belongs to no other.
const settingsName = "settings"

// settings is the body of the settings item.
type settings struct {
	WeightLoads int
}

// Life is the body of a life item: which life of an endpoint is the newest, and
// whether it is leaving.
type Life struct {
	Life    uint64
	Leaving bool
}

// InvalidItemError means that the body of an item cannot be read.
type InvalidItemError struct {
	Key   ItemKey
	Cause error
}

// Error names the item.
func (e *InvalidItemError) Error() string {
	return fmt.Sprintf("item %s %q cannot be read: %v", e.Key.Kind, e.Key.Name, e.Cause)
}

// Unwrap gives the cause.
func (e *InvalidItemError) Unwrap() error { return e.Cause }

// Encode returns the items of a configuration, without its revision and without
// the lives of its endpoints, which are not declared.
func Encode(configuration tables.Configuration) ([]*rpc.Item, error) {
	var e encoder
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

type encoder struct {
	items []*rpc.Item
	err   error
}

func (e *encoder) add(kind rpc.ItemKind, name string, value any) {
	body, err := json.Marshal(value)
	if err != nil && e.err == nil {
		e.err = &InvalidItemError{Key: ItemKey{kind, name}, Cause: err}
	}
	e.items = append(e.items, &rpc.Item{Kind: kind, Name: name, Body: body})
}

// EncodeLife returns the item that says which life of an endpoint is in force.
func EncodeLife(endpoint tables.EndpointID, life Life) (*rpc.Item, error) {
	var e encoder
	e.add(rpc.ItemKind_ITEM_LIFE, string(endpoint), life)
	return e.items[0], trace.Wrap(e.err)
}

// firstLife is the life of an endpoint that never left.
const firstLife = 1

// LifeOf returns the life of an endpoint that is in force.
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

// DeclaresEndpoint says whether the content has an endpoint of that name.
func (c *Content) DeclaresEndpoint(endpoint tables.EndpointID) bool {
	return c.bodies[ItemKey{rpc.ItemKind_ITEM_ENDPOINT, string(endpoint)}] != nil
}

// WeightLoadLimit returns how many weight loads may run at once, at least 1.
func (c *Content) WeightLoadLimit() int {
	var s settings
	_ = json.Unmarshal(c.bodies[ItemKey{rpc.ItemKind_ITEM_SETTINGS, settingsName}], &s)
	return max(1, s.WeightLoads)
}

// Decode returns the content as a configuration of the given revision, with
// lists ordered by name.
func (c *Content) Decode(revision tables.Revision) (tables.Configuration, error) {
	configuration := tables.Configuration{Revision: revision}
	for _, item := range c.Items() {
		if err := c.decodeItem(item, &configuration); err != nil {
			return tables.Configuration{}, trace.Wrap(err)
		}
	}
	return configuration, nil
}

func (c *Content) decodeItem(item *rpc.Item, into *tables.Configuration) error {
	switch item.Kind {
	case rpc.ItemKind_ITEM_SETTINGS:
		into.WeightLoads = c.WeightLoadLimit()
	case rpc.ItemKind_ITEM_PROFILE:
		return decodeTo(item, &into.Profiles)
	case rpc.ItemKind_ITEM_ORGANISATION:
		return decodeTo(item, &into.Organisations)
	case rpc.ItemKind_ITEM_MODEL:
		return decodeTo(item, &into.Models)
	case rpc.ItemKind_ITEM_ENDPOINT:
		if err := decodeTo(item, &into.Endpoints); err != nil {
			return err
		}
		endpoint := &into.Endpoints[len(into.Endpoints)-1]
		life, err := c.LifeOf(endpoint.ID)
		endpoint.Life, endpoint.Leaving = life.Life, life.Leaving
		return err
	}
	return nil
}

func decodeTo[T any](item *rpc.Item, list *[]T) error {
	var value T
	if err := json.Unmarshal(item.Body, &value); err != nil {
		return &InvalidItemError{Key: ItemKey{item.Kind, item.Name}, Cause: err}
	}
	*list = append(*list, value)
	return nil
}

// Validate reports the first item that cannot be read or is given twice. An
// item that one instance cannot read would keep the whole revision out of force
// there, so it is refused before the quorum sees it.
func Validate(items []*rpc.Item) error {
	names := make([]ItemKey, 0, len(items))
	for _, item := range items {
		names = append(names, ItemKey{item.GetKind(), item.GetName()})
	}
	slices.SortFunc(names, compareNames)
	for i := 1; i < len(names); i++ {
		if names[i] == names[i-1] {
			return trace.Wrap(&DuplicateItemError{Name: names[i]})
		}
	}
	_, err := NewContent(items).Decode(0)
	return trace.Wrap(err)
}

// DuplicateItemError means that two items of one configuration have the same name.
type DuplicateItemError struct{ Name ItemKey }

// Error names the item.
func (e *DuplicateItemError) Error() string {
	return fmt.Sprintf("item %s %q is declared twice", e.Name.Kind, e.Name.Name)
}
