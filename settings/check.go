package settings

import (
	"slices"
	"strconv"

	"github.com/carawaystile/carawaystile/tables"
)

func itoa(n int) string { return strconv.Itoa(n) }

// checkProfile and the checks below validate references between declarations. They run
// after all files are read, since a declaration may refer to one in another file.
func (d *declarations) checkProfile(n node, p tables.Profile) {
	switch {
	case p.Model == "" && p.Service == "":
		n.problem("the profile names neither a model nor a service", "model: or service:")
	case p.Model != "" && p.Service != "":
		n.problem("the profile names both a model and a service", "one of the two")
	case p.Model != "":
		d.checkModelProfile(n, p)
	default:
		d.checkServiceProfile(n, p)
	}
	if p.Hedge && !p.Idempotent {
		n.problem("hedge: true runs work twice, but may_repeat is false", "hedge: false, or may_repeat: true")
	}
	if p.MaxWait > 0 && p.Priority == tables.Urgent {
		n.problem("the priority is urgent, but the work can wait", "can_wait: no, or another priority")
	}
	if p.MaxWait >= p.Timeout {
		n.problem("the work may wait "+p.MaxWait.String()+", but its timeout is "+p.Timeout.String(),
			"a timeout longer than can_wait")
	}
}

func (d *declarations) checkModelProfile(n node, p tables.Profile) {
	i := slices.IndexFunc(d.configuration.Models, func(m tables.Model) bool { return m.Name == p.Model })
	if i < 0 {
		reportUnknownName(n, "model", p.Model, d.models)
		return
	}
	model := d.configuration.Models[i]
	if p.Adapter != "" && !slices.Contains(model.Adapters, p.Adapter) {
		n.problem("model "+string(p.Model)+" has no adapter "+string(p.Adapter), "an adapter that the model lists")
	}
	served := func(e tables.Endpoint) bool { return slices.Contains(e.Models, p.Model) }
	if !slices.ContainsFunc(d.configuration.Endpoints, served) {
		n.problem("no endpoint serves model "+string(p.Model), "an endpoint that lists it under models")
	}
}

func (d *declarations) checkServiceProfile(n node, p tables.Profile) {
	if p.Adapter != "" {
		n.problem("an adapter belongs to a model, but the profile names a service", "no adapter")
	}
	if p.Prefer == tables.PreferReuse {
		n.problem("prefer: reuse speaks of cached prompts, but the profile names a service", "no prefer")
	}
	answers := func(e tables.Endpoint) bool { return e.Service == p.Service }
	if !slices.ContainsFunc(d.configuration.Endpoints, answers) {
		n.problem("no endpoint answers for service "+string(p.Service), "an endpoint with service: "+string(p.Service))
	}
}

func (d *declarations) checkOrganisation(n node, o tables.Organisation) {
	for _, profile := range o.Profiles {
		if _, ok := d.profiles[profile]; !ok {
			reportUnknownName(n, "profile", profile, d.profiles)
		}
	}
}

func (d *declarations) checkEndpoint(n node, e tables.Endpoint) {
	switch {
	case len(e.Models) == 0 && e.Service == "":
		n.problem("the endpoint names neither models nor a service", "models: or service:")
	case len(e.Models) > 0 && e.Service != "":
		n.problem("the endpoint names both models and a service", "one of the two")
	}
	for _, model := range e.Models {
		if _, ok := d.models[model]; !ok {
			reportUnknownName(n, "model", model, d.models)
		}
	}
	for _, other := range d.configuration.Endpoints {
		if other.ID < e.ID && other.Address == e.Address && e.Address.IsValid() {
			n.problem("endpoints "+string(other.ID)+" and "+string(e.ID)+" have the same address", "an address each")
		}
	}
}

// reportUnknownName reports a reference to an undeclared name and suggests the nearest
// declared one.
func reportUnknownName[K ~string](n node, kind string, key K, declared map[K]declaredAt) {
	if key == "" {
		return
	}
	known := make([]string, 0, len(declared))
	for name := range declared {
		known = append(known, string(name))
	}
	slices.Sort(known)
	right := "a declared " + kind
	if guess := nearestWord(string(key), known); guess != "" {
		right = guess
	}
	n.problem("no "+kind+" is called "+string(key), right)
}
