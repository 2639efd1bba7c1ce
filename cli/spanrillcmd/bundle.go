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

// bundle is a set of documents in the form that the commands get and edit print and read.
type bundle struct {
	Revision  uint64           `json:"revision,omitempty"`
	Documents []bundleDocument `json:"documents"`
}

// bundleDocument is one document of a bundle. Base is the hash of the value that the command get
// printed. An edit conflicts if the stored value no longer has that hash; without a base it
// overwrites any value.
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

func (d bundleDocument) documentName() config.Name { return config.Name{Kind: d.Kind, Name: d.Name} }

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
	sort.Slice(b.Documents, func(i, j int) bool {
		return b.Documents[i].documentName().String() < b.Documents[j].documentName().String()
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
	change := config.Change{
		Author: author, Documents: map[config.Name]json.RawMessage{}, Base: map[config.Name]string{},
	}
	var problems checked.Problems
	for i, d := range b.Documents {
		if d.Base != nil {
			change.Base[d.documentName()] = *d.Base
		}
		if d.Remove {
			change.Documents[d.documentName()] = nil
			continue
		}
		doc, err := config.Check(fmt.Sprintf("%s#/documents/%d", file, i), d.documentName(), indent(d.Document))
		if err := appendProblems(&problems, err); err != nil {
			return change, err
		}
		change.Documents[d.documentName()] = doc
	}
	if len(problems) > 0 {
		return change, problems
	}
	return change, nil
}

// appendProblems appends the problems in err and returns nil if err is a list of problems. Otherwise
// it returns err.
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
