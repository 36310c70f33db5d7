package entry

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/carawaystile/carawaystile/tables"
)

// directory is one configuration arranged for looking up callers and profiles.
// It is immutable.
type directory struct {
	tokens   map[[sha256.Size]byte]*tables.Organisation
	profiles map[tables.ProfileName]*tables.Profile
	models   map[tables.ModelName]*tables.Model
	order    []*tables.Profile
}

func newDirectory(c *tables.Configuration) *directory {
	d := &directory{
		tokens:   map[[sha256.Size]byte]*tables.Organisation{},
		profiles: map[tables.ProfileName]*tables.Profile{},
		models:   map[tables.ModelName]*tables.Model{},
	}
	for i := range c.Organisations {
		for _, text := range c.Organisations[i].TokenHashes {
			var hash [sha256.Size]byte
			if n, err := hex.Decode(hash[:], []byte(text)); err == nil && n == len(hash) {
				d.tokens[hash] = &c.Organisations[i]
			}
		}
	}
	for i := range c.Profiles {
		d.profiles[c.Profiles[i].Name] = &c.Profiles[i]
		d.order = append(d.order, &c.Profiles[i])
	}
	for i := range c.Models {
		d.models[c.Models[i].Name] = &c.Models[i]
	}
	return d
}

// weights gives the version that is wanted for a model, empty if it is not
// known.
func (d *directory) weights(name tables.ModelName) tables.WeightsVersion {
	if m := d.models[name]; m != nil {
		return m.Weights
	}
	return ""
}

// organisation finds the holder of a bearer token. The lookup is by hash, so
// that the time it takes tells nothing about tokens that exist.
func (d *directory) organisation(token string) *tables.Organisation {
	return d.tokens[sha256.Sum256([]byte(token))]
}

func mayUse(o *tables.Organisation, name tables.ProfileName) bool {
	if len(o.Profiles) == 0 {
		return true
	}
	for _, allowed := range o.Profiles {
		if allowed == name {
			return true
		}
	}
	return false
}

// modelName is how callers name a profile's model: the model alone, or with
// its adapter after a colon.
func modelName(p *tables.Profile) string {
	if p.Adapter == "" {
		return string(p.Model)
	}
	return string(p.Model) + ":" + string(p.Adapter)
}

// target is what a caller asks for.
type target struct {
	kind    tables.EndpointKind
	profile string
	model   string
	service string
}

// fits says whether the profile serves the target.
func (t target) fits(p *tables.Profile) bool {
	if p.Kind != t.kind {
		return false
	}
	if t.kind == tables.PlainService {
		return string(p.Service) == t.service
	}
	return t.model == "" || t.model == modelName(p)
}

// resolve finds the profile that a request is treated by: the named one, or
// the only one of the organisation's that fits. It gives the code of the
// failure otherwise.
func (d *directory) resolve(o *tables.Organisation, t target) (*tables.Profile, tables.ErrorCode) {
	if t.profile != "" {
		return d.named(o, t)
	}
	var found *tables.Profile
	for _, p := range d.order {
		if !t.fits(p) || !mayUse(o, p.Name) {
			continue
		}
		if found != nil {
			return nil, tables.CodeUnknownProfile
		}
		found = p
	}
	if found == nil {
		return nil, t.unknown()
	}
	return found, 0
}

func (d *directory) named(o *tables.Organisation, t target) (*tables.Profile, tables.ErrorCode) {
	p := d.profiles[tables.ProfileName(t.profile)]
	if p == nil || p.Kind != t.kind {
		return nil, tables.CodeUnknownProfile
	}
	if !mayUse(o, p.Name) {
		return nil, tables.CodeForbiddenProfile
	}
	if !t.fits(p) {
		return nil, t.unknown()
	}
	return p, 0
}

// unknown is the code for a target that nothing fits.
func (t target) unknown() tables.ErrorCode {
	switch {
	case t.kind == tables.PlainService:
		return tables.CodeUnknownService
	case t.model == "":
		return tables.CodeUnknownProfile
	default:
		return tables.CodeUnknownModel
	}
}
