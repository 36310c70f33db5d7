package settings

import (
	"encoding/hex"
	"io/fs"
	"os"
	"path/filepath"
	"sort"
	"time"

	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"

	"github.com/carawaystile/carawaystile/tables"
)

// Upper bounds of declared values.
const (
	maxWait       = time.Hour
	maxTimeout    = 4 * time.Hour
	maxShare      = 1000
	maxRate       = 1e6
	maxConcurrent = 1_000_000
	maxSlots      = 65536
	maxPieces     = 100_000_000
	maxSpeed      = 1e7
	maxLoads      = 1024
	maxTokens     = 4
)

// Defaults of what a declaration leaves out.
const (
	defaultTimeout     = time.Minute
	defaultSlots       = 8
	defaultCachePieces = 64
	defaultWeightLoads = 2
)

// declaredAt is the position of a declaration, for messages that refer to it.
type declaredAt struct {
	node node
	line int
}

// declarations is a configuration under construction, with the positions of the names
// declared so far and the cross-reference checks to run at the end.
type declarations struct {
	configuration tables.Configuration
	models        map[tables.ModelName]declaredAt
	profiles      map[tables.ProfileName]declaredAt
	organisations map[tables.OrganisationID]declaredAt
	endpoints     map[tables.EndpointID]declaredAt
	checks        []func()
	out           collector
}

// ReadDeclarations reads one YAML file, or all *.yaml and *.yml files of a folder, as one
// configuration. The revision of the result is 0: only the control state assigns revisions.
// The error is a *ValidationError if the files are readable but invalid.
func ReadDeclarations(path string) (*tables.Configuration, error) {
	files, err := declarationFiles(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	texts := make(map[string][]byte, len(files))
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		texts[file] = text
	}
	return ParseDeclarations(texts)
}

func declarationFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	var files []string
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, err
	}
	for _, entry := range entries {
		if isYAML(entry) {
			files = append(files, filepath.Join(path, entry.Name()))
		}
	}
	if len(files) == 0 {
		return nil, &fs.PathError{Op: "read declarations", Path: path, Err: fs.ErrNotExist}
	}
	return files, nil
}

func isYAML(entry fs.DirEntry) bool {
	extension := filepath.Ext(entry.Name())
	return !entry.IsDir() && (extension == ".yaml" || extension == ".yml")
}

// ParseDeclarations does what ReadDeclarations does, for texts in memory by file name.
func ParseDeclarations(texts map[string][]byte) (*tables.Configuration, error) {
	d := &declarations{
		configuration: tables.Configuration{WeightLoads: defaultWeightLoads},
		models:        make(map[tables.ModelName]declaredAt),
		profiles:      make(map[tables.ProfileName]declaredAt),
		organisations: make(map[tables.OrganisationID]declaredAt),
		endpoints:     make(map[tables.EndpointID]declaredAt),
	}
	files := make([]string, 0, len(texts))
	for file := range texts {
		files = append(files, file)
	}
	sort.Strings(files)
	for _, file := range files {
		if root, ok := parse(file, texts[file], &d.out); ok {
			d.file(root)
		}
	}
	for _, check := range d.checks {
		check()
	}
	if err := d.out.err(); err != nil {
		return nil, err
	}
	return &d.configuration, nil
}

func (d *declarations) file(root node) {
	root.object(
		field{key: "models", read: func(n node) { n.list(d.model) }},
		field{key: "profiles", read: func(n node) { n.list(d.profile) }},
		field{key: "organisations", read: func(n node) { n.list(d.organisation) }},
		field{key: "endpoints", read: func(n node) { n.list(d.endpoint) }},
		field{key: "weight_loads_at_once", read: integer(&d.configuration.WeightLoads, 1, maxLoads)},
	)
}

// declare records the position of a name and reports a duplicate declaration.
func declare[K ~string](seen map[K]declaredAt, kind string, key K, n node) {
	if key == "" {
		return
	}
	if first, ok := seen[key]; ok {
		n.problem(kind+" "+string(key)+" is declared twice, first at "+first.String(), "one of the two, or another name")
		return
	}
	seen[key] = declaredAt{node: n, line: n.Line}
}

// String returns the position as file:line.
func (p declaredAt) String() string {
	return p.node.file + ":" + itoa(p.line)
}

func (d *declarations) model(n node) {
	var m tables.Model
	n.object(
		field{key: "name", required: true, read: name(&m.Name)},
		field{key: "weights", required: true, read: name(&m.Weights)},
		field{key: "adapters", read: names(&m.Adapters)},
	)
	declare(d.models, "model", m.Name, n)
	d.configuration.Models = append(d.configuration.Models, m)
}

func (d *declarations) profile(n node) {
	p := tables.Profile{Timeout: defaultTimeout, Priority: tables.Normal, Kind: tables.Engine}
	n.object(
		field{key: "name", required: true, read: name(&p.Name)},
		field{key: "model", read: name(&p.Model)},
		field{key: "adapter", read: name(&p.Adapter)},
		field{key: "service", read: name(&p.Service)},
		field{key: "can_wait", read: maxWaitTime(&p.MaxWait)},
		field{key: "timeout", read: duration(&p.Timeout, 10*time.Millisecond, maxTimeout)},
		field{key: "may_repeat", required: true, read: boolean(&p.Idempotent)},
		field{key: "priority", read: choice(&p.Priority, priorityWords, priorities)},
		field{key: "prefer", read: choice(&p.Prefer, preferenceWords, preferences)},
		field{key: "hedge", read: boolean(&p.Hedge)},
	)
	if p.Service != "" {
		p.Kind = tables.PlainService
	}
	declare(d.profiles, "profile", p.Name, n)
	d.configuration.Profiles = append(d.configuration.Profiles, p)
	d.checks = append(d.checks, func() { d.checkProfile(n, p) })
}

var (
	priorityWords = []string{"urgent", "normal", "background"}
	priorities    = map[string]tables.Priority{
		"urgent": tables.Urgent, "normal": tables.Normal, "background": tables.Background,
	}
	preferenceWords = []string{"balanced", "first_token", "reuse"}
	preferences     = map[string]tables.Preference{
		"balanced": tables.PreferBalanced, "first_token": tables.PreferFirstToken, "reuse": tables.PreferReuse,
	}
)

// maxWaitTime reads "no" or the longest time that a request may be queued.
func maxWaitTime(dst *time.Duration) func(node) {
	return func(n node) {
		if s, ok := n.scalar("no, or a time such as 20m"); ok && s != "no" && s != "false" {
			duration(dst, time.Millisecond, maxWait)(n)
		}
	}
}

func (d *declarations) organisation(n node) {
	o := tables.Organisation{Share: 1}
	n.object(
		field{key: "name", required: true, read: name(&o.ID)},
		field{key: "token_sha256", required: true, read: tokenHashes(&o.TokenHashes)},
		field{key: "share", read: integer(&o.Share, 1, maxShare)},
		field{key: "requests_per_second", read: number(&o.RequestsPerSecond, 0, maxRate)},
		field{key: "concurrent", read: integer(&o.Concurrent, 0, maxConcurrent)},
		field{key: "profiles", read: allowedProfiles(&o.Profiles)},
	)
	declare(d.organisations, "organisation", o.ID, n)
	d.configuration.Organisations = append(d.configuration.Organisations, o)
	d.checks = append(d.checks, func() { d.checkOrganisation(n, o) })
}

// allowedProfiles reads the profiles that an organisation may use. It refuses an empty list, since
// without the key an organisation may use all of them.
func allowedProfiles(dst *[]tables.ProfileName) func(node) {
	return func(n node) {
		if n.Kind == yaml.SequenceNode && len(n.Content) == 0 {
			n.problem("this list is empty", "at least one profile; leave the key out to allow all")
			return
		}
		names(dst)(n)
	}
}

// tokenHashes reads one to four SHA-256 hashes in hexadecimal. Files never contain the
// tokens themselves.
func tokenHashes(dst *[]string) func(node) {
	return func(n node) {
		n.list(func(item node) {
			const right = "64 hexadecimal digits, as `carawaystile token` prints them"
			s, ok := item.scalar(right)
			if !ok {
				return
			}
			if raw, err := hex.DecodeString(s); err != nil || len(raw) != 32 {
				item.problem("this is not a SHA-256 hash", right)
				return
			}
			*dst = append(*dst, s)
		})
		if len(*dst) > maxTokens {
			n.problem("there are more than 4 hashes", "the hashes still in use")
		}
	}
}

func (d *declarations) endpoint(n node) {
	e := tables.Endpoint{Life: 1, Slots: defaultSlots, CacheBlocks: defaultCachePieces}
	n.object(
		field{key: "name", required: true, read: name(&e.ID)},
		field{key: "zone", required: true, read: name(&e.Zone)},
		field{key: "address", required: true, read: address(&e.Address)},
		field{key: "models", read: names(&e.Models)},
		field{key: "service", read: name(&e.Service)},
		field{key: "checks_fencing", read: boolean(&e.ChecksFence)},
		field{key: "slots", read: integer(&e.Slots, 1, maxSlots)},
		field{key: "cache_pieces", read: integer(&e.CacheBlocks, 0, maxPieces)},
		field{key: "prefill_tokens_per_second", read: number(&e.PrefillRate, 0, maxSpeed)},
		field{key: "decode_tokens_per_second", read: number(&e.DecodeRate, 0, maxSpeed)},
	)
	if e.Service != "" {
		e.Kind = tables.PlainService
	}
	declare(d.endpoints, "endpoint", e.ID, n)
	d.configuration.Endpoints = append(d.configuration.Endpoints, e)
	d.checks = append(d.checks, func() { d.checkEndpoint(n, e) })
}
