package spanrillcmd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"

	"github.com/pkg/errors"

	"spanrill/checked"
	"spanrill/state/config"
)

// bundle is a set of documents in the form that get prints and edit reads.
type bundle struct {
	Revision  uint64           `json:"revision,omitempty"`
	Documents []bundleDocument `json:"documents"`
}

// bundleDocument is one document of a bundle. Base is the hash of the value that get printed. An
// edit conflicts if the stored value no longer has that hash; without a base it overwrites any value.
type bundleDocument struct {
	Kind     config.Kind     `json:"kind"`
	Name     string          `json:"name"`
	Base     *string         `json:"base,omitempty"`
	Remove   bool            `json:"remove,omitempty"`
	Document json.RawMessage `json:"document,omitempty"`
}

var bundleSchema = checked.MustCompile("bundle", []byte(`{
  "type": "object",
  "additionalProperties": false,
  "required": ["documents"],
  "properties": {
    "revision": {"type": "integer", "description": "the revision that get printed; ignored on input"},
    "documents": {
      "type": "array",
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["kind", "name"],
        "properties": {
          "kind": {"enum": ["model", "site", "template", "account"], "description": "model, site, template or account"},
          "name": {"type": "string", "minLength": 1, "description": "the document's name"},
          "base": {"type": "string", "description": "the hash that get printed, or an empty string for a new document"},
          "remove": {"type": "boolean", "description": "true removes the document"},
          "document": {"type": "object", "description": "the document; spanrill schema KIND prints what it may hold"}
        }
      }
    }
  }
}`))

func (e bundleDocument) documentName() config.Name { return config.Name{Kind: e.Kind, Name: e.Name} }

// newBundle returns a bundle of the documents that match, sorted by kind and name.
func newBundle(revision uint64, docs config.Documents, match func(config.Name) bool) bundle {
	b := bundle{Revision: revision, Documents: []bundleDocument{}}
	for name, doc := range docs {
		if !match(name) {
			continue
		}
		base := config.HashDocument(doc)
		b.Documents = append(b.Documents, bundleDocument{Kind: name.Kind, Name: name.Name, Base: &base, Document: doc})
	}
	sort.Slice(b.Documents, func(i, k int) bool {
		return b.Documents[i].documentName().String() < b.Documents[k].documentName().String()
	})
	return b
}

// readBundle reads a bundle from a file, or from standard input for "-".
func readBundle(path string) (bundle, error) {
	var b bundle
	data, err := readInput(path)
	if err != nil {
		return b, err
	}
	if err := bundleSchema.Decode(path, data, &b); err != nil {
		return b, err
	}
	return b, nil
}

func readInput(path string) ([]byte, error) {
	if path == "-" {
		data, err := io.ReadAll(os.Stdin)
		if err != nil {
			return nil, fmt.Errorf("read standard input: %w", err)
		}
		return data, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read input: %w", err)
	}
	return data, nil
}

// toChange validates each document by itself and returns the bundle as a change by author. Its error
// lists the problems of all documents.
func (b bundle) toChange(file, author string) (config.Change, error) {
	c := config.Change{
		Author: author, Documents: map[config.Name]json.RawMessage{}, Base: map[config.Name]string{},
	}
	var problems checked.Problems
	for i, e := range b.Documents {
		if e.Base != nil {
			c.Base[e.documentName()] = *e.Base
		}
		if e.Remove {
			c.Documents[e.documentName()] = nil
			continue
		}
		doc, err := config.Check(fmt.Sprintf("%s#/documents/%d", file, i), e.documentName(), indent(e.Document))
		if err := appendProblems(&problems, err); err != nil {
			return c, err
		}
		c.Documents[e.documentName()] = doc
	}
	if len(problems) > 0 {
		return c, problems
	}
	return c, nil
}

// appendProblems appends the problems that err consists of and returns nil, or returns err if it is
// another error.
func appendProblems(problems *checked.Problems, err error) error {
	var more checked.Problems
	if errors.As(err, &more) {
		*problems = append(*problems, more...)
		return nil
	}
	return err
}

// indent formats a document with one field a line, so that the line and column of a problem are
// useful. It returns invalid JSON unchanged.
func indent(doc json.RawMessage) []byte {
	var out bytes.Buffer
	if json.Indent(&out, doc, "", "  ") != nil {
		return doc
	}
	return out.Bytes()
}
