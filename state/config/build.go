package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/pkg/errors"

	"spanrill/checked"
)

// Documents holds all documents of a configuration by name, in canonical JSON.
type Documents map[Name]json.RawMessage

// names returns the names of all documents of a kind, sorted.
func (d Documents) names(k Kind) []Name {
	var names []Name
	for n := range d {
		if n.Kind == k {
			names = append(names, n)
		}
	}
	sort.Slice(names, func(i, j int) bool { return names[i].Name < names[j].Name })
	return names
}

// Build validates the documents, including the references between them, and returns them as a
// snapshot. The error is a checked.Problems if a document is invalid.
func Build(revision uint64, editID string, docs Documents) (*Snapshot, error) {
	b := builder{docs: docs, snapshot: newSnapshot(revision, editID, docs)}
	for _, k := range Kinds {
		for _, n := range docs.names(k) {
			b.add(n)
		}
	}
	if len(b.problems) > 0 {
		return nil, b.problems
	}
	return b.snapshot, nil
}

// builder builds a snapshot and collects the problems of all documents.
type builder struct {
	docs     Documents
	snapshot *Snapshot
	problems checked.Problems
}

// addProblem adds a problem with a field of document n. The position is always the start of the
// document.
func (b *builder) addProblem(n Name, field, format string, args ...any) {
	b.problems = append(b.problems, checked.Problem{
		File: n.String(), Field: field, Line: 1, Column: 1, Text: fmt.Sprintf(format, args...),
	})
}

func (b *builder) add(n Name) {
	doc := newDocument(n.Kind)
	if err := schemas[n.Kind].Decode(n.String(), b.docs[n], doc); err != nil {
		b.addDecodeError(n, err)
		return
	}
	switch d := doc.(type) {
	case *Model:
		b.snapshot.models[d.Name] = d
	case *Site:
		b.snapshot.sites[d.Name] = d
	case *Template:
		b.addTemplate(n, d)
	case *Account:
		b.addAccount(n, d)
	}
}

func (b *builder) addDecodeError(n Name, err error) {
	var ps checked.Problems
	if errors.As(err, &ps) {
		b.problems = append(b.problems, ps...)
		return
	}
	b.addProblem(n, "/", "%v", err)
}

// addTemplate adds a template and checks that it resolves with the default of each parameter.
func (b *builder) addTemplate(n Name, t *Template) {
	b.snapshot.templates[t.Name] = t
	for name, p := range t.Parameters {
		if err := p.check(p.Default); err != nil {
			b.addProblem(n, "/parameters/"+name+"/default", "%v", err)
		}
	}
	b.resolve(n, t, &Account{})
}

func (b *builder) addAccount(n Name, a *Account) {
	t := b.snapshot.templates[a.Template]
	if t == nil {
		b.addProblem(n, "/template", "there is no template %q; there are: %s", a.Template, sortedKeys(b.snapshot.templates))
		return
	}
	for name, value := range a.Parameters {
		b.checkParameter(n, t, name, value)
	}
	grant := b.resolve(n, t, a)
	b.snapshot.accounts[a.Name] = grant
	for i, h := range a.KeyHashes {
		b.addKey(n, i, h, grant)
	}
}

func (b *builder) checkParameter(n Name, t *Template, name string, value json.RawMessage) {
	p, ok := t.Parameters[name]
	if !ok {
		b.addProblem(n, "/parameters/"+name, "template %q has no such parameter; it has: %s", t.Name, sortedKeys(t.Parameters))
		return
	}
	if err := p.check(value); err != nil {
		b.addProblem(n, "/parameters/"+name, "%v", err)
	}
}

// addKey adds the key with the given index in account n.
func (b *builder) addKey(n Name, index int, hash string, grant *Grant) {
	var key KeyHash
	if _, err := hex.Decode(key[:], []byte(hash)); err != nil {
		b.addProblem(n, fmt.Sprintf("/key_hashes/%d", index), "%v", err)
		return
	}
	if other := b.snapshot.byKey[key]; other != nil {
		b.addProblem(n, fmt.Sprintf("/key_hashes/%d", index), "account %q has the same key", other.account)
		return
	}
	b.snapshot.byKey[key] = grant
}

// check returns an error if the value does not have the parameter's type or is not allowed.
func (p Parameter) check(value json.RawMessage) error {
	if p.Type == "string" {
		return p.checkString(value)
	}
	var n int
	if err := json.Unmarshal(value, &n); err != nil {
		return errors.Errorf("%s is not an integer", value)
	}
	if p.Minimum != nil && n < *p.Minimum || p.Maximum != nil && n > *p.Maximum {
		return errors.Errorf("%d is out of range; allowed: %s to %s", n, formatBound(p.Minimum), formatBound(p.Maximum))
	}
	return nil
}

func (p Parameter) checkString(value json.RawMessage) error {
	var s string
	if err := json.Unmarshal(value, &s); err != nil {
		return errors.Errorf("%s is not a string", value)
	}
	if len(p.Allowed) == 0 {
		return nil
	}
	for _, a := range p.Allowed {
		if a == s {
			return nil
		}
	}
	return errors.Errorf("%q is not allowed; allowed: %s", s, strings.Join(p.Allowed, ", "))
}

func formatBound(n *int) string {
	if n == nil {
		return "any"
	}
	return fmt.Sprint(*n)
}

// sortedKeys returns the keys of m as a sorted, comma-separated list, or "none".
func sortedKeys[V any](m map[string]V) string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	if len(keys) == 0 {
		return "none"
	}
	return strings.Join(keys, ", ")
}

// HashKey returns the hash of a bearer key, as accounts list it.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }
