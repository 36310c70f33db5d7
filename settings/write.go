package settings

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"

	"github.com/carawaystile/carawaystile/tables"
)

// Field is one key of a declaration with its value in YAML syntax.
type Field struct{ Key, Value string }

// fields collects the fields of one declaration and leaves out empty values.
type fields struct{ list []Field }

func (f *fields) add(key, value string) {
	if value != "" {
		f.list = append(f.list, Field{Key: key, Value: value})
	}
}

// ModelFields returns the fields of a model's declaration.
func ModelFields(m *tables.Model) []Field {
	var f fields
	f.add("name", nameText(m.Name))
	f.add("weights", nameText(m.Weights))
	f.add("adapters", listText(m.Adapters))
	return f.list
}

// ProfileFields returns the fields of a profile's declaration.
func ProfileFields(p *tables.Profile) []Field {
	var f fields
	f.add("name", nameText(p.Name))
	f.add("model", nameText(p.Model))
	f.add("adapter", nameText(p.Adapter))
	f.add("service", nameText(p.Service))
	f.add("can_wait", waitText(p.MaxWait))
	f.add("timeout", p.Timeout.String())
	f.add("may_repeat", strconv.FormatBool(p.Idempotent))
	f.add("priority", wordFor(priorities, p.Priority))
	if p.Prefer != tables.PreferBalanced {
		f.add("prefer", wordFor(preferences, p.Prefer))
	}
	if p.Hedge {
		f.add("hedge", strconv.FormatBool(p.Hedge))
	}
	return f.list
}

// OrganisationFields returns the fields of an organisation's declaration.
func OrganisationFields(o *tables.Organisation) []Field {
	var f fields
	f.add("name", nameText(o.ID))
	f.add("token_sha256", "["+strings.Join(quoteAll(o.TokenHashes), ", ")+"]")
	f.add("share", strconv.Itoa(o.Share))
	if o.RequestsPerSecond > 0 {
		f.add("requests_per_second", numberText(o.RequestsPerSecond))
	}
	if o.Concurrent > 0 {
		f.add("concurrent", strconv.Itoa(o.Concurrent))
	}
	f.add("profiles", listText(o.Profiles))
	return f.list
}

// EndpointFields returns the fields of an endpoint's declaration. They don't include its
// life, which is not declared.
func EndpointFields(e *tables.Endpoint) []Field {
	var f fields
	f.add("name", nameText(e.ID))
	f.add("zone", nameText(e.Zone))
	f.add("address", strconv.Quote(e.Address.String()))
	f.add("models", listText(e.Models))
	f.add("service", nameText(e.Service))
	if e.ChecksFence {
		f.add("checks_fencing", strconv.FormatBool(e.ChecksFence))
	}
	f.add("slots", strconv.Itoa(e.Slots))
	f.add("cache_pieces", strconv.Itoa(e.CacheBlocks))
	if e.PrefillRate > 0 {
		f.add("prefill_tokens_per_second", numberText(e.PrefillRate))
	}
	if e.DecodeRate > 0 {
		f.add("decode_tokens_per_second", numberText(e.DecodeRate))
	}
	return f.list
}

// WriteDeclarations serialises a configuration as YAML that ParseDeclarations reads back as
// the same declarations. It leaves out the revision and the endpoints' lives, which are not
// declared.
func WriteDeclarations(c *tables.Configuration) ([]byte, error) {
	root := &yaml.Node{Kind: yaml.MappingNode}
	writeList(root, "models", c.Models, ModelFields)
	writeList(root, "profiles", c.Profiles, ProfileFields)
	writeList(root, "organisations", c.Organisations, OrganisationFields)
	writeList(root, "endpoints", c.Endpoints, EndpointFields)
	put(root, "weight_loads_at_once", valueNode(strconv.Itoa(c.WeightLoads)))
	var out bytes.Buffer
	encoder := yaml.NewEncoder(&out)
	encoder.SetIndent(2)
	if err := encoder.Encode(root); err != nil {
		return nil, trace.Wrap(err)
	}
	return out.Bytes(), nil
}

func writeList[T any](root *yaml.Node, key string, rows []T, of func(*T) []Field) {
	if len(rows) == 0 {
		return
	}
	list := &yaml.Node{Kind: yaml.SequenceNode}
	for i := range rows {
		item := &yaml.Node{Kind: yaml.MappingNode}
		for _, f := range of(&rows[i]) {
			put(item, f.Key, valueNode(f.Value))
		}
		list.Content = append(list.Content, item)
	}
	put(root, key, list)
}

func put(mapping *yaml.Node, key string, value *yaml.Node) {
	mapping.Content = append(mapping.Content, &yaml.Node{Kind: yaml.ScalarNode, Value: key}, value)
}

// valueNode parses a value as YAML, so that lists stay lists. A name that YAML resolves to a
// number or a boolean is still read as a name by the parser of declarations.
func valueNode(text string) *yaml.Node {
	var document yaml.Node
	if err := yaml.Unmarshal([]byte(text), &document); err != nil || len(document.Content) == 0 {
		return &yaml.Node{Kind: yaml.ScalarNode, Style: yaml.DoubleQuotedStyle, Value: text}
	}
	return document.Content[0]
}

func listText[T ~string](names []T) string {
	if len(names) == 0 {
		return ""
	}
	texts := make([]string, len(names))
	for i, name := range names {
		texts[i] = string(name)
	}
	return "[" + strings.Join(quoteAll(texts), ", ") + "]"
}

// nameText quotes a name that YAML would not resolve to a string.
func nameText[T ~string](name T) string {
	if name == "" {
		return ""
	}
	plain := yaml.Node{Kind: yaml.ScalarNode, Value: string(name)}
	if plain.ShortTag() != "!!str" {
		return strconv.Quote(string(name))
	}
	return string(name)
}

func quoteAll(texts []string) []string {
	quoted := make([]string, len(texts))
	for i, text := range texts {
		quoted[i] = strconv.Quote(text)
	}
	return quoted
}

func waitText(d time.Duration) string {
	if d == 0 {
		return "no"
	}
	return d.String()
}

func numberText(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// wordFor returns the word that maps to a value.
func wordFor[T comparable](words map[string]T, value T) string {
	for word, v := range words {
		if v == value {
			return word
		}
	}
	return ""
}
