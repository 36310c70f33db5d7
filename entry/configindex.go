package entry

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/carawaystile/carawaystile/tables"
)

// configIndex is one configuration arranged for looking up callers and profiles.
// It is immutable.
type configIndex struct {
	tokens      map[[sha256.Size]byte]*tables.Organisation
	profiles    map[tables.ProfileName]*tables.Profile
	models      map[tables.ModelName]*tables.Model
	profileList []*tables.Profile
}

func newConfigIndex(c *tables.Configuration) *configIndex {
	index := &configIndex{
		tokens:   map[[sha256.Size]byte]*tables.Organisation{},
		profiles: map[tables.ProfileName]*tables.Profile{},
		models:   map[tables.ModelName]*tables.Model{},
	}
	for i := range c.Organisations {
		for _, text := range c.Organisations[i].TokenHashes {
			var hash [sha256.Size]byte
			if n, err := hex.Decode(hash[:], []byte(text)); err == nil && n == len(hash) {
				index.tokens[hash] = &c.Organisations[i]
			}
		}
	}
	for i := range c.Profiles {
		index.profiles[c.Profiles[i].Name] = &c.Profiles[i]
		index.profileList = append(index.profileList, &c.Profiles[i])
	}
	for i := range c.Models {
		index.models[c.Models[i].Name] = &c.Models[i]
	}
	return index
}

// weightsVersion gives the version that is wanted for a model, empty if it is not
// known.
func (index *configIndex) weightsVersion(name tables.ModelName) tables.WeightsVersion {
	if m := index.models[name]; m != nil {
		return m.Weights
	}
	return ""
}

// organisationByToken finds the holder of a bearer token. The lookup is by hash, so
// that the time it takes tells nothing about tokens that exist.
func (index *configIndex) organisationByToken(token string) *tables.Organisation {
	return index.tokens[sha256.Sum256([]byte(token))]
}

func mayUseProfile(o *tables.Organisation, name tables.ProfileName) bool {
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

// profileQuery is what a caller asks for.
type profileQuery struct {
	kind    tables.EndpointKind
	profile string
	model   string
	service string
}

// matches says whether the profile serves the target.
func (q profileQuery) matches(p *tables.Profile) bool {
	if p.Kind != q.kind {
		return false
	}
	if q.kind == tables.PlainService {
		return string(p.Service) == q.service
	}
	return q.model == "" || q.model == modelName(p)
}

// resolveProfile finds the profile that a request is treated by: the named one, or
// the only one of the organisation's that fits. It gives the code of the
// failure otherwise.
func (index *configIndex) resolveProfile(o *tables.Organisation, q profileQuery) (*tables.Profile, tables.ErrorCode) {
	if q.profile != "" {
		return index.resolveNamed(o, q)
	}
	var found *tables.Profile
	for _, p := range index.profileList {
		if !q.matches(p) || !mayUseProfile(o, p.Name) {
			continue
		}
		if found != nil {
			return nil, tables.CodeUnknownProfile
		}
		found = p
	}
	if found == nil {
		return nil, q.notFoundCode()
	}
	return found, 0
}

func (index *configIndex) resolveNamed(o *tables.Organisation, q profileQuery) (*tables.Profile, tables.ErrorCode) {
	p := index.profiles[tables.ProfileName(q.profile)]
	if p == nil || p.Kind != q.kind {
		return nil, tables.CodeUnknownProfile
	}
	if !mayUseProfile(o, p.Name) {
		return nil, tables.CodeForbiddenProfile
	}
	if !q.matches(p) {
		return nil, q.notFoundCode()
	}
	return p, 0
}

// notFoundCode is the code for a target that nothing fits.
func (q profileQuery) notFoundCode() tables.ErrorCode {
	switch {
	case q.kind == tables.PlainService:
		return tables.CodeUnknownService
	case q.model == "":
		return tables.CodeUnknownProfile
	default:
		return tables.CodeUnknownModel
	}
}
