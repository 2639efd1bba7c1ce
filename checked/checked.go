// Package checked decodes JSON documents that people write, validates them against a JSON schema,
// and reports all mistakes at once.
//
// Each problem has the path of the field, its line and column, and a text that says what the schema
// allows there. Unknown fields are problems if the schema allows no additional properties.
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

// Schema is a compiled JSON schema for one kind of document.
type Schema struct {
	name     string
	raw      []byte // source
	tree     any    // decoded source
	compiled *jsonschema.Schema
}

// MustCompile compiles a JSON schema. It panics if the schema is invalid. Packages compile their
// embedded schemas on initialization, so that their tests detect an invalid one.
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

// Raw returns the source of the schema.
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

// Problems is an error with all mistakes of a document.
type Problems []Problem

// Error returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Decode validates data against the schema and decodes it into v. Problems name the document as
// file. The error is a Problems if the document is invalid.
func (s *Schema) Decode(file string, data []byte, v any) error {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return Problems{syntaxProblem(file, data, err)}
	}
	if err := s.compiled.Validate(doc); err != nil {
		return s.validationProblems(file, data, err)
	}
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode %s: %w", file, err)
	}
	return nil
}

// syntaxProblem returns a problem at the position of the syntax error, or at the end of data if
// that is not known.
func syntaxProblem(file string, data []byte, err error) Problem {
	offset := int64(len(data))
	var syntax *json.SyntaxError
	if errors.As(json.Unmarshal(data, new(any)), &syntax) {
		offset = syntax.Offset
		err = syntax
	}
	line, column := position(data, offset)
	return Problem{File: file, Field: "/", Line: line, Column: column, Text: "not JSON: " + err.Error()}
}

func (s *Schema) validationProblems(file string, data []byte, err error) error {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return fmt.Errorf("check %s: %w", file, err)
	}
	c := collector{schema: s, file: file, data: data, offsets: valueOffsets(data)}
	c.collect(invalid)
	sort.SliceStable(c.problems, func(i, j int) bool {
		a, b := c.problems[i], c.problems[j]
		return a.Line < b.Line || a.Line == b.Line && a.Column < b.Column
	})
	return c.problems
}

// collector turns the errors of a validation into problems.
type collector struct {
	schema   *Schema
	file     string
	data     []byte
	offsets  map[string]int64 // of each value in data, by path
	problems Problems
}

// printer formats the messages of the schema library.
var printer = message.NewPrinter(language.English)

// collect adds the problems of e and of its causes.
func (c *collector) collect(e *jsonschema.ValidationError) {
	if len(e.Causes) > 0 && !isAlternative(e.ErrorKind) {
		for _, cause := range e.Causes {
			c.collect(cause)
		}
		return
	}
	field := jsonPointer(e.InstanceLocation)
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			c.add(field+"/"+name, "unknown field; allowed here: "+c.allowedFields(e.SchemaURL))
		}
	case *kind.Required:
		for _, name := range k.Missing {
			c.add(field, "field "+name+" is missing")
		}
	default:
		c.add(field, e.ErrorKind.LocalizedString(printer)+c.allowedValues(e.SchemaURL))
	}
}

// isAlternative reports whether the causes of an error belong to alternatives (anyOf, oneOf). Such
// an error is one problem, because only one of the alternatives has to match.
func isAlternative(k jsonschema.ErrorKind) bool {
	switch k.(type) {
	case *kind.AnyOf, *kind.OneOf:
		return true
	}
	return false
}

func (c *collector) add(field, text string) {
	line, column := position(c.data, c.offsets[field])
	if field == "" {
		field = "/"
	}
	c.problems = append(c.problems, Problem{File: c.file, Field: field, Line: line, Column: column, Text: text})
}

// allowedFields lists the fields that the schema node at url has.
func (c *collector) allowedFields(url string) string {
	node, _ := c.schemaNode(url).(map[string]any)
	properties, _ := node["properties"].(map[string]any)
	names := make([]string, 0, len(properties))
	for name := range properties {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

// allowedValues returns the description of the schema node at url, which says what is allowed, as
// the end of a problem's text. It returns "" if the node has no description.
func (c *collector) allowedValues(url string) string {
	node, _ := c.schemaNode(url).(map[string]any)
	text, _ := node["description"].(string)
	if text == "" {
		return ""
	}
	return "; allowed: " + text
}

// schemaNode returns the node of the schema that the fragment of url points to.
func (c *collector) schemaNode(url string) any {
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

func jsonPointer(steps []string) string {
	if len(steps) == 0 {
		return ""
	}
	return "/" + strings.Join(steps, "/")
}
