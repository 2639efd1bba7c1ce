// Package checked decodes JSON that people write, and reports every mistake
// in it at once.
//
// A JSON schema says what is allowed. Each problem names the field, its line
// and column, and what is allowed there. Unknown fields are problems.
//
// # Usage
//
//	var schema = checked.MustCompile("settings", schemaJSON)
//
//	err := schema.Decode("spanrilld.json", data, &settings)
package checked

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Schema says what a kind of document may hold.
type Schema struct {
	name     string
	raw      []byte
	tree     any
	compiled *jsonschema.Schema
}

// MustCompile returns the schema in raw. It panics on a schema that does not
// compile, which a test of the package that embeds it finds.
func MustCompile(name string, raw []byte) *Schema {
	tree, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		panic("schema " + name + ": " + err.Error())
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(name+".json", tree); err != nil {
		panic("schema " + name + ": " + err.Error())
	}
	return &Schema{name: name, raw: raw, tree: tree, compiled: c.MustCompile(name + ".json")}
}

// Raw returns the schema as JSON.
func (s *Schema) Raw() []byte { return s.raw }

// Problem is one mistake in a document.
type Problem struct {
	File   string `json:"file"`
	Field  string `json:"field"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Text   string `json:"text"`
}

// String returns the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", p.File, p.Line, p.Column, p.Field, p.Text)
}

// Problems is an error that holds every mistake of a document.
type Problems []Problem

// Error returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Decode checks data against the schema and decodes it into v. The error is
// Problems when the document is at fault.
func (s *Schema) Decode(file string, data []byte, v any) error {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return Problems{syntaxProblem(file, data, err)}
	}
	if err := s.compiled.Validate(doc); err != nil {
		return s.problems(file, data, err)
	}
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode %s: %w", file, err)
	}
	return nil
}

func syntaxProblem(file string, data []byte, err error) Problem {
	offset := int64(len(data))
	var syntax *json.SyntaxError
	if errors.As(json.Unmarshal(data, new(any)), &syntax) {
		offset = syntax.Offset
		err = syntax
	}
	line, column := place(data, offset)
	return Problem{File: file, Field: "/", Line: line, Column: column, Text: "not JSON: " + err.Error()}
}

func (s *Schema) problems(file string, data []byte, err error) error {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return fmt.Errorf("check %s: %w", file, err)
	}
	c := collector{schema: s, file: file, data: data, offsets: offsets(data)}
	c.collect(invalid)
	sort.SliceStable(c.found, func(i, k int) bool {
		a, b := c.found[i], c.found[k]
		return a.Line < b.Line || a.Line == b.Line && a.Column < b.Column
	})
	return c.found
}

type collector struct {
	schema  *Schema
	file    string
	data    []byte
	offsets map[string]int64
	found   Problems
}

var english = message.NewPrinter(language.English)

func (c *collector) collect(e *jsonschema.ValidationError) {
	if len(e.Causes) > 0 && !isChoice(e.ErrorKind) {
		for _, cause := range e.Causes {
			c.collect(cause)
		}
		return
	}
	field := pointer(e.InstanceLocation)
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			c.add(field+"/"+name, "unknown field; allowed here: "+c.allowed(e.SchemaURL))
		}
	case *kind.Required:
		for _, name := range k.Missing {
			c.add(field, "field "+name+" is missing")
		}
	default:
		c.add(field, e.ErrorKind.LocalizedString(english)+c.describe(e.SchemaURL))
	}
}

// isChoice reports whether the causes of an error exclude one another.
func isChoice(k jsonschema.ErrorKind) bool {
	switch k.(type) {
	case *kind.AnyOf, *kind.OneOf:
		return true
	}
	return false
}

func (c *collector) add(field, text string) {
	line, column := place(c.data, c.offsets[field])
	if field == "" {
		field = "/"
	}
	c.found = append(c.found, Problem{File: c.file, Field: field, Line: line, Column: column, Text: text})
}

// allowed lists the fields that the schema at a place knows.
func (c *collector) allowed(url string) string {
	node, _ := c.at(url).(map[string]any)
	properties, _ := node["properties"].(map[string]any)
	names := make([]string, 0, len(properties))
	for name := range properties {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// describe returns what the schema says of the value at a place.
func (c *collector) describe(url string) string {
	node, _ := c.at(url).(map[string]any)
	text, _ := node["description"].(string)
	if text == "" {
		return ""
	}
	return "; allowed: " + text
}

// at walks the schema to the place that url names.
func (c *collector) at(url string) any {
	_, fragment, _ := strings.Cut(url, "#")
	node := c.schema.tree
	for _, step := range strings.Split(strings.TrimPrefix(fragment, "/"), "/") {
		m, ok := node.(map[string]any)
		if !ok || step == "" {
			return node
		}
		node = m[step]
	}
	return node
}

func pointer(steps []string) string {
	if len(steps) == 0 {
		return ""
	}
	return "/" + strings.Join(steps, "/")
}
