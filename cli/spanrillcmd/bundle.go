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

// bundle is a set of documents as get prints and edit reads it.
type bundle struct {
	Revision  uint64  `json:"revision,omitempty"`
	Documents []entry `json:"documents"`
}

// entry is one document of a bundle. Base is the hash of the value that get
// printed; edit takes it as the value that the operator started from. Without
// a base the document is written whatever it was.
type entry struct {
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
    "revision": {"type": "integer", "description": "the revision that get printed; not read"},
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

func (e entry) key() config.Name { return config.Name{Kind: e.Kind, Name: e.Name} }

// newBundle returns the documents that match in the order of their names.
func newBundle(revision uint64, docs config.Documents, match func(config.Name) bool) bundle {
	b := bundle{Revision: revision, Documents: []entry{}}
	for n, doc := range docs {
		if !match(n) {
			continue
		}
		base := config.HashDocument(doc)
		b.Documents = append(b.Documents, entry{Kind: n.Kind, Name: n.Name, Base: &base, Document: doc})
	}
	sort.Slice(b.Documents, func(i, k int) bool {
		return b.Documents[i].key().String() < b.Documents[k].key().String()
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

// change checks each document by itself and returns the change that the bundle
// asks for, with every mistake at once.
func (b bundle) change(file, author string) (config.Change, error) {
	c := config.Change{
		Author: author, Documents: map[config.Name]json.RawMessage{}, Base: map[config.Name]string{},
	}
	var problems checked.Problems
	for i, e := range b.Documents {
		if e.Base != nil {
			c.Base[e.key()] = *e.Base
		}
		if e.Remove {
			c.Documents[e.key()] = nil
			continue
		}
		doc, err := config.Check(fmt.Sprintf("%s#/documents/%d", file, i), e.key(), indent(e.Document))
		if err := collect(&problems, err); err != nil {
			return c, err
		}
		c.Documents[e.key()] = doc
	}
	if len(problems) > 0 {
		return c, problems
	}
	return c, nil
}

// collect adds the problems of err, and returns any other error.
func collect(all *checked.Problems, err error) error {
	var ps checked.Problems
	if errors.As(err, &ps) {
		*all = append(*all, ps...)
		return nil
	}
	return err
}

// indent lays a document out, so that the place of a problem means something.
func indent(doc json.RawMessage) []byte {
	var out bytes.Buffer
	if json.Indent(&out, doc, "", "  ") != nil {
		return doc
	}
	return out.Bytes()
}
