package config

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Kind is a kind of configuration document.
type Kind string

// The kinds of documents.
const (
	KindModel    Kind = "model"
	KindSite     Kind = "site"
	KindTemplate Kind = "template"
	KindAccount  Kind = "account"
)

// Kinds lists all kinds, each after those that its documents refer to.
var Kinds = []Kind{KindModel, KindSite, KindTemplate, KindAccount}

// ParseKind returns the kind with that name.
func ParseKind(name string) (Kind, error) {
	for _, k := range Kinds {
		if string(k) == name {
			return k, nil
		}
	}
	return "", errors.Errorf("unknown kind %q: allowed are model, site, template and account", name)
}

// Name identifies one document.
type Name struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the name in the form kind/name.
func (n Name) String() string { return string(n.Kind) + "/" + n.Name }

// ParseName parses a name in the form kind/name.
func ParseName(s string) (Name, error) {
	kindName, name, ok := strings.Cut(s, "/")
	if !ok || name == "" {
		return Name{}, errors.Errorf("%q is not the name of a document: write kind/name, for example template/keeper", s)
	}
	k, err := ParseKind(kindName)
	if err != nil {
		return Name{}, fmt.Errorf("document %q: %w", s, err)
	}
	return Name{Kind: k, Name: name}, nil
}

// Model is a model that engines load in ranges of layers.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	Layers  int    `json:"layers"`
}

// Fences selects the upstreams of a site that check the term (fencing token) of an order.
type Fences string

// The values of Fences.
const (
	FencesAll    Fences = "all"
	FencesNone   Fences = "none"
	FencesListed Fences = "listed"
)

// Site groups availability zones.
type Site struct {
	Name   string   `json:"name"`
	Zones  []string `json:"availability_zones"`
	Fences Fences   `json:"fences"`
	Fenced []string `json:"fenced_upstreams,omitempty"` // used with FencesListed
}

// ChecksFences reports whether an upstream of the site checks the term of an order.
func (s *Site) ChecksFences(upstream string) bool {
	switch s.Fences {
	case FencesAll:
		return true
	case FencesListed:
		for _, name := range s.Fenced {
			if name == upstream {
				return true
			}
		}
	}
	return false
}

// Parameter declares a parameter of a template. Each client account may set it.
type Parameter struct {
	Type    string          `json:"type"` // integer or string
	Default json.RawMessage `json:"default"`
	Minimum *int            `json:"minimum,omitempty"`
	Maximum *int            `json:"maximum,omitempty"`
	Allowed []string        `json:"allowed,omitempty"`
}

// ModelUse allows the accounts of a template to use a model, with the given priority and limit, at
// the given site.
type ModelUse struct {
	Model     string `json:"model"`
	Priority  Int    `json:"priority"`
	Site      String `json:"site"`
	MaxTokens Int    `json:"max_tokens"`
}

// Call matches requests to a plain service.
type Call struct {
	Method     string `json:"method"`
	Path       string `json:"path"`       // a trailing * matches the rest
	Repeatable bool   `json:"repeatable"` // may run twice without harm
}

// ServiceUse lists the calls of a service that the accounts of a template may make.
type ServiceUse struct {
	Service string `json:"service"`
	Site    String `json:"site"`
	Calls   []Call `json:"calls"`
}

// Limits are the limits of an account over all daemons combined. Zero means unlimited, except for
// the weight, which is at least 1.
type Limits struct {
	RequestsPerSecond Int `json:"requests_per_second"`
	TokensPerSecond   Int `json:"tokens_per_second"`
	InFlight          Int `json:"in_flight"`
	Weight            Int `json:"weight"`
}

// Template is a set of models, services and limits that several accounts share.
type Template struct {
	Name       string               `json:"name"`
	Parameters map[string]Parameter `json:"parameters,omitempty"`
	Models     []ModelUse           `json:"models,omitempty"`
	Services   []ServiceUse         `json:"services,omitempty"`
	Limits     Limits               `json:"limits"`
}

// Account is a client account: its keys, and its values for the template's parameters.
type Account struct {
	Name       string                     `json:"name"`
	Template   string                     `json:"template"`
	KeyHashes  []string                   `json:"key_hashes"` // sha256 of each bearer key, in hex
	Parameters map[string]json.RawMessage `json:"parameters,omitempty"`
	Disabled   bool                       `json:"disabled,omitempty"` // all requests are refused
}

// paramPrefix marks a reference to a parameter.
const paramPrefix = "$"

// Int is a literal integer or a reference to an integer parameter.
type Int struct {
	value int
	param string
}

// IntLiteral returns a literal integer.
func IntLiteral(n int) Int { return Int{value: n} }

// Param returns the parameter's name, or "" for a literal.
func (i Int) Param() string { return i.param }

// MarshalJSON encodes a literal as a number and a reference as "$name".
func (i Int) MarshalJSON() ([]byte, error) {
	if i.param != "" {
		return json.Marshal(paramPrefix + i.param)
	}
	return json.Marshal(i.value)
}

// UnmarshalJSON decodes a number or "$name".
func (i *Int) UnmarshalJSON(data []byte) error {
	*i = Int{}
	var name string
	if json.Unmarshal(data, &name) != nil {
		return json.Unmarshal(data, &i.value)
	}
	i.param = strings.TrimPrefix(name, paramPrefix)
	return nil
}

// String is a literal string or a reference to a string parameter.
type String struct {
	value string
	param string
}

// StringLiteral returns a literal string.
func StringLiteral(s string) String { return String{value: s} }

// Param returns the parameter's name, or "" for a literal.
func (s String) Param() string { return s.param }

// MarshalJSON encodes a literal as it is and a reference as "$name".
func (s String) MarshalJSON() ([]byte, error) {
	if s.param != "" {
		return json.Marshal(paramPrefix + s.param)
	}
	return json.Marshal(s.value)
}

// UnmarshalJSON decodes a string; one that begins with "$" is a reference.
func (s *String) UnmarshalJSON(data []byte) error {
	*s = String{}
	if err := json.Unmarshal(data, &s.value); err != nil {
		return fmt.Errorf("decode string: %w", err)
	}
	if name, ok := strings.CutPrefix(s.value, paramPrefix); ok {
		s.param, s.value = name, ""
	}
	return nil
}
