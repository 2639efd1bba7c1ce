package config

import (
	_ "embed" // the schemas are embedded
	"encoding/json"
	"fmt"

	"spanrill/checked"
)

//go:embed schema/model.json
var modelSchema []byte

//go:embed schema/site.json
var siteSchema []byte

//go:embed schema/template.json
var templateSchema []byte

//go:embed schema/account.json
var accountSchema []byte

var schemas = map[Kind]*checked.Schema{
	KindModel:    checked.MustCompile("model", modelSchema),
	KindSite:     checked.MustCompile("site", siteSchema),
	KindTemplate: checked.MustCompile("template", templateSchema),
	KindAccount:  checked.MustCompile("account", accountSchema),
}

// Schema returns the JSON schema of a kind of document.
func Schema(k Kind) *checked.Schema { return schemas[k] }

// newDocument returns a pointer to an empty document of the kind.
func newDocument(k Kind) any {
	switch k {
	case KindModel:
		return &Model{}
	case KindSite:
		return &Site{}
	case KindTemplate:
		return &Template{}
	}
	return &Account{}
}

// Check validates a single document and returns it in canonical form. References to other
// documents are not checked; Build does that.
func Check(file string, n Name, data []byte) (json.RawMessage, error) {
	doc := newDocument(n.Kind)
	if err := schemas[n.Kind].Decode(file, data, doc); err != nil {
		return nil, err
	}
	if declared := documentName(doc); declared != n.Name {
		text := fmt.Sprintf("is %q, but the document is edited as %q", declared, n.Name)
		return nil, checked.Problems{{File: file, Field: "/name", Line: 1, Column: 1, Text: text}}
	}
	canonical, err := json.Marshal(doc)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", n, err)
	}
	return canonical, nil
}

func documentName(doc any) string {
	switch d := doc.(type) {
	case *Model:
		return d.Name
	case *Site:
		return d.Name
	case *Template:
		return d.Name
	case *Account:
		return d.Name
	}
	return ""
}
