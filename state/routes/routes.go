// Package routes indexes the configuration of a gateway by host, path, service and key.
//
// A Table is built once for each version and is immutable, so that a request that holds one sees a
// single version from start to end. Current holds the newest table of the process.
//
// # Usage
//
//	t := routes.New(config)
//	route, ok := t.Find("api.example", "/summaries/7")
//	account, ok := t.Account(key)
package routes

import (
	"sort"
	"strings"

	"spanrill"
)

// Table is one version of the configuration, indexed for lookups.
type Table struct {
	config       *spanrill.RouteConfig
	byHost       map[string][]*spanrill.Route // longest prefix first
	services     map[string]*spanrill.ServiceInfo
	accounts     map[string]*spanrill.Account // by key
	competitions map[string]competition       // by service
}

// New returns the table of a configuration.
func New(c *spanrill.RouteConfig) *Table {
	t := &Table{
		config: c, byHost: map[string][]*spanrill.Route{},
		services: map[string]*spanrill.ServiceInfo{}, accounts: map[string]*spanrill.Account{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Accounts {
		for _, key := range c.Accounts[i].Keys {
			t.accounts[key] = &c.Accounts[i]
		}
	}
	t.competitions = findCompetitions(c)
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.config.Version }

// IgnoredValues returns descriptions of the implausible values in the configuration, which were
// ignored.
func (t *Table) IgnoredValues() []string { return t.config.IgnoredValues }

// Limits returns the limits on what callers may send.
func (t *Table) Limits() spanrill.CallerLimits { return t.config.Limits }

// Services returns all services.
func (t *Table) Services() []spanrill.ServiceInfo { return t.config.Services }

// HasAccounts reports whether there are client accounts, so that requests need a key except on
// routes with AuthExempt.
func (t *Table) HasAccounts() bool { return len(t.config.Accounts) > 0 }

// Find returns the route of the host with the longest prefix of the path. A port in the host is
// ignored.
func (t *Table) Find(host, path string) (*spanrill.Route, bool) {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Account returns the client account that a key belongs to.
func (t *Table) Account(key string) (*spanrill.Account, bool) {
	a, ok := t.accounts[key]
	return a, ok && key != ""
}

// Service returns a service by its name, or nil.
func (t *Table) Service(name string) *spanrill.ServiceInfo { return t.services[name] }

// ChooseService chooses a service of the route at random according to the weights of its shares.
// The draw is a random number from 0 to 1. It returns "" if the route has no services.
func ChooseService(r *spanrill.Route, draw float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := draw * float64(total)
	for _, s := range r.Shares {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// CountKeysNotIn returns the number of keys in the table that the other table lacks.
func (t *Table) CountKeysNotIn(other *Table) int {
	n := 0
	for key := range t.accounts {
		if _, ok := other.accounts[key]; !ok {
			n++
		}
	}
	return n
}
