package config

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"
)

// defaultMaxTokens limits answers for which the template sets no limit.
const defaultMaxTokens = 1024

// resolver replaces references to parameters with the account's values or the template's defaults.
type resolver struct {
	template *Template
	account  *Account
}

func (r resolver) parameterValue(param string) (json.RawMessage, error) {
	p, ok := r.template.Parameters[param]
	if !ok {
		return nil, errors.Errorf("template declares no parameter %q; it declares: %s", param, sortedKeys(r.template.Parameters))
	}
	if v, ok := r.account.Parameters[param]; ok {
		return v, nil
	}
	return p.Default, nil
}

func (r resolver) intValue(i Int) (int, error) {
	if i.param == "" {
		return i.value, nil
	}
	raw, err := r.parameterValue(i.param)
	if err != nil {
		return 0, err
	}
	var n int
	if err := json.Unmarshal(raw, &n); err != nil {
		return 0, errors.Errorf("parameter %q is not an integer", i.param)
	}
	return n, nil
}

func (r resolver) stringValue(s String) (string, error) {
	if s.param == "" {
		return s.value, nil
	}
	raw, err := r.parameterValue(s.param)
	if err != nil {
		return "", err
	}
	var v string
	if err := json.Unmarshal(raw, &v); err != nil {
		return "", errors.Errorf("parameter %q is not a string", s.param)
	}
	return v, nil
}

// resolve returns the account's grant, and adds a problem for each value that is invalid.
func (b *builder) resolve(n Name, t *Template, a *Account) *Grant {
	r := resolver{template: t, account: a}
	g := &Grant{
		account: a.Name, template: t.Name, disabled: a.Disabled,
		models: map[string]*ModelGrant{}, services: map[string]*ServiceGrant{},
	}
	for i, use := range t.Models {
		b.resolveModel(n, fmt.Sprintf("/models/%d", i), r, use, g)
	}
	for i, use := range t.Services {
		b.resolveService(n, fmt.Sprintf("/services/%d", i), r, use, g)
	}
	g.limits = b.resolveLimits(n, r, t.Limits)
	return g
}

func (b *builder) resolveModel(n Name, field string, r resolver, use ModelUse, g *Grant) {
	m := b.snapshot.models[use.Model]
	if m == nil {
		b.addProblem(n, field+"/model", "there is no model %q; there are: %s", use.Model, sortedKeys(b.snapshot.models))
	}
	priority := b.resolveInt(n, field+"/priority", r, use.Priority)
	maxTokens := b.resolveInt(n, field+"/max_tokens", r, use.MaxTokens)
	if priority < 0 || priority > maxPriority {
		b.addProblem(n, field+"/priority", "%d is out of range; allowed: 0 to %d", priority, maxPriority)
	}
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	g.models[use.Model] = &ModelGrant{
		model: m, priority: priority, maxTokens: maxTokens, site: b.resolveSite(n, field+"/site", r, use.Site),
	}
}

const maxPriority = 9

func (b *builder) resolveService(n Name, field string, r resolver, use ServiceUse, g *Grant) {
	g.services[use.Service] = &ServiceGrant{
		service: use.Service, site: b.resolveSite(n, field+"/site", r, use.Site), calls: use.Calls,
	}
}

func (b *builder) resolveLimits(n Name, r resolver, l Limits) GrantLimits {
	return GrantLimits{
		requestsPerSecond: b.resolveInt(n, "/limits/requests_per_second", r, l.RequestsPerSecond),
		tokensPerSecond:   b.resolveInt(n, "/limits/tokens_per_second", r, l.TokensPerSecond),
		inFlight:          b.resolveInt(n, "/limits/in_flight", r, l.InFlight),
		weight:            max(1, b.resolveInt(n, "/limits/weight", r, l.Weight)),
	}
}

func (b *builder) resolveInt(n Name, field string, r resolver, i Int) int {
	v, err := r.intValue(i)
	if err != nil {
		b.addProblem(n, field, "%v", err)
	}
	return v
}

func (b *builder) resolveSite(n Name, field string, r resolver, s String) *Site {
	name, err := r.stringValue(s)
	if err != nil {
		b.addProblem(n, field, "%v", err)
		return nil
	}
	site := b.snapshot.sites[name]
	if site == nil {
		b.addProblem(n, field, "there is no site %q; there are: %s", name, sortedKeys(b.snapshot.sites))
	}
	return site
}
