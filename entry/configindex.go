package entry

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/carawaystile/carawaystile/tables"
)

// configIndex is an immutable index of one configuration, by bearer token,
// profile name and model name.
type configIndex struct {
	tokens      map[[sha256.Size]byte]*tables.Organisation
	profiles    map[tables.ProfileName]*tables.Profile
	models      map[tables.ModelName]*tables.Model
	profileList []*tables.Profile
}

// newConfigIndex returns the index of a configuration. It skips token hashes
// that are not hexadecimal SHA-256 hashes.
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

// weightsVersion returns the configured weights version of a model, or an empty
// version if the model is unknown.
func (index *configIndex) weightsVersion(name tables.ModelName) tables.WeightsVersion {
	if m := index.models[name]; m != nil {
		return m.Weights
	}
	return ""
}

// organisationByToken returns the organisation of a bearer token, or nil if
// there is none. The lookup is by hash, so that its duration reveals nothing
// about valid tokens.
func (index *configIndex) organisationByToken(token string) *tables.Organisation {
	return index.tokens[sha256.Sum256([]byte(token))]
}

// mayUseProfile reports whether the organisation may use the profile. An empty
// list of profiles allows all.
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

// modelName returns the name of a profile's model in the callers' API: the
// model alone, or the model, a colon and the adapter.
func modelName(p *tables.Profile) string {
	if p.Adapter == "" {
		return string(p.Model)
	}
	return string(p.Model) + ":" + string(p.Adapter)
}

// profileQuery describes the profile that a request needs. An empty profile or
// model means that the caller did not name one.
type profileQuery struct {
	kind    tables.EndpointKind
	profile string
	model   string
	service string
}

// matches reports whether the profile satisfies the query.
func (q profileQuery) matches(p *tables.Profile) bool {
	if p.Kind != q.kind {
		return false
	}
	if q.kind == tables.PlainService {
		return string(p.Service) == q.service
	}
	return q.model == "" || q.model == modelName(p)
}

// resolveProfile returns the profile that applies to a request: the named one,
// or else the only matching one that the organisation may use. If there is no
// such profile, it returns the error code of the failure.
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

// resolveNamed returns the profile that the query names, or an error code if
// the profile is unknown, forbidden or does not match.
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

// notFoundCode returns the error code for a query that no profile matches.
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
