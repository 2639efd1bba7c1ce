package config

import (
	"strings"
)

// KeyHash is the SHA-256 hash of a bearer key.
type KeyHash [32]byte

// Snapshot is one revision of the whole configuration. It is immutable.
type Snapshot struct {
	revision  uint64
	editID    string
	docs      Documents
	models    map[string]*Model
	sites     map[string]*Site
	templates map[string]*Template
	accounts  map[string]*Grant
	byKey     map[KeyHash]*Grant
}

func newSnapshot(revision uint64, editID string, docs Documents) *Snapshot {
	return &Snapshot{
		revision: revision, editID: editID, docs: docs,
		models: map[string]*Model{}, sites: map[string]*Site{}, templates: map[string]*Template{},
		accounts: map[string]*Grant{}, byKey: map[KeyHash]*Grant{},
	}
}

// Revision returns the number of the last edit, which rises with each edit.
func (s *Snapshot) Revision() uint64 { return s.revision }

// EditID returns the id of the last edit.
func (s *Snapshot) EditID() string { return s.editID }

// Documents returns all documents. The caller must not modify the map.
func (s *Snapshot) Documents() Documents { return s.docs }

// Model returns the model with that name, or nil.
func (s *Snapshot) Model(name string) *Model { return s.models[name] }

// Models returns all models by name. The caller must not modify the map.
func (s *Snapshot) Models() map[string]*Model { return s.models }

// ModelsAt returns the models that accounts use at a site, each with the highest priority of those
// accounts.
func (s *Snapshot) ModelsAt(site string) map[string]int {
	used := map[string]int{}
	for _, g := range s.accounts {
		for name, m := range g.models {
			if m.site.Name == site {
				used[name] = max(used[name], m.priority)
			}
		}
	}
	return used
}

// Account returns the grant of the client account with that name, or nil.
func (s *Snapshot) Account(name string) *Grant { return s.accounts[name] }

// ByKey returns the grant of the client account with that bearer key, or nil.
func (s *Snapshot) ByKey(key string) *Grant { return s.byKey[HashKey(key)] }

// SiteOf returns the site of an availability zone, or nil.
func (s *Snapshot) SiteOf(zone string) *Site {
	for _, site := range s.sites {
		if site.HasZone(zone) {
			return site
		}
	}
	return nil
}

// HasZone reports whether the availability zone belongs to the site.
func (s *Site) HasZone(zone string) bool {
	for _, z := range s.Zones {
		if z == zone {
			return true
		}
	}
	return false
}

// Grant describes what one client account may do, with all parameters resolved.
type Grant struct {
	account  string
	template string
	disabled bool
	models   map[string]*ModelGrant
	services map[string]*ServiceGrant
	limits   GrantLimits
}

// Account returns the client account's name.
func (g *Grant) Account() string { return g.account }

// Template returns the name of the account's template.
func (g *Grant) Template() string { return g.template }

// Disabled reports whether all requests of the account are refused.
func (g *Grant) Disabled() bool { return g.disabled }

// Limits returns the account's limits.
func (g *Grant) Limits() GrantLimits { return g.limits }

// Model returns the account's grant for a model, or nil.
func (g *Grant) Model(name string) *ModelGrant { return g.models[name] }

// Models returns the account's grants by model. The caller must not modify the map.
func (g *Grant) Models() map[string]*ModelGrant { return g.models }

// Service returns the account's grant for a service, or nil.
func (g *Grant) Service(name string) *ServiceGrant { return g.services[name] }

// ModelGrant describes how one account may use one model.
type ModelGrant struct {
	model     *Model
	priority  int
	site      *Site
	maxTokens int
}

// Model returns the model.
func (m *ModelGrant) Model() *Model { return m.model }

// Priority returns the priority of the account's requests, from 0 (lowest) to 9.
func (m *ModelGrant) Priority() int { return m.priority }

// Site returns the site where the account's requests run.
func (m *ModelGrant) Site() *Site { return m.site }

// MaxTokens returns the highest number of tokens allowed in an answer.
func (m *ModelGrant) MaxTokens() int { return m.maxTokens }

// ServiceGrant describes which calls of one plain service an account may make.
type ServiceGrant struct {
	service string
	site    *Site
	calls   []Call
}

// Service returns the service's name.
func (s *ServiceGrant) Service() string { return s.service }

// Site returns the site where the account's calls run.
func (s *ServiceGrant) Site() *Site { return s.site }

// Call returns the first allowed call that matches the method and path, or nil.
func (s *ServiceGrant) Call(method, path string) *Call {
	for i := range s.calls {
		if s.calls[i].matches(method, path) {
			return &s.calls[i]
		}
	}
	return nil
}

func (c *Call) matches(method, path string) bool {
	if c.Method != method {
		return false
	}
	if prefix, ok := strings.CutSuffix(c.Path, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return c.Path == path
}

// GrantLimits are the limits of one account over all daemons combined. Zero means unlimited.
type GrantLimits struct {
	requestsPerSecond int
	tokensPerSecond   int
	inFlight          int
	weight            int
}

// RequestsPerSecond returns the number of requests that may start per second.
func (l GrantLimits) RequestsPerSecond() int { return l.requestsPerSecond }

// TokensPerSecond returns the number of tokens that may be generated per second.
func (l GrantLimits) TokensPerSecond() int { return l.tokensPerSecond }

// InFlight returns the number of requests that may run concurrently.
func (l GrantLimits) InFlight() int { return l.inFlight }

// Weight returns the account's weight relative to other accounts, at least 1.
func (l GrantLimits) Weight() int { return l.weight }
