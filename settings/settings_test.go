package settings

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"spanrill/checked"
)

// The example passes validation, and is the same after it is encoded and parsed.
func TestExampleIsValid(t *testing.T) {
	data, err := Example().JSON()
	if err != nil {
		t.Fatal(err)
	}
	s, err := Parse("example.json", data)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(s, Example()) {
		t.Fatalf("read back as %+v, want the example", s)
	}
}

const invalidSettings = `{
  "name": "entry 1",
  "availability_zone": "",
  "listen": "localhost:8080",
  "admin_listen": 8081,
  "platform": "10.0.9.1:7000",
  "fleet_secret": "short",
  "routing_policy": "best",
  "limits": {"body_bytes": 1, "queue": -1},
  "drain": {"notice": 5},
  "log": {"level": "loud"}
}`

// All mistakes are reported at once, each with its field, its line and what is allowed.
func TestAllProblemsAreReported(t *testing.T) {
	_, err := Parse("bad.json", []byte(invalidSettings))
	var problems checked.Problems
	if !errors.As(err, &problems) {
		t.Fatalf("got error %v, want checked.Problems", err)
	}
	want := []struct {
		field string
		line  int
		text  string
	}{
		{"/", 1, "peer_listen"},
		{"/name", 2, "letters, digits"},
		{"/availability_zone", 3, ""},
		{"/listen", 4, "an IP address and a port"},
		{"/admin_listen", 5, "an IP address and a port"},
		{"/fleet_secret", 7, "16 to 256 characters"},
		{"/routing_policy", 8, "round-robin"},
		{"/limits/body_bytes", 9, "1024"},
		{"/limits/queue", 9, "0 to 1000000"},
		{"/drain/notice", 10, "notice_ms"},
		{"/log/level", 11, "debug, info"},
	}
	for _, w := range want {
		if !containsProblem(problems, w.field, w.line, w.text) {
			t.Errorf("no problem with %s in line %d that contains %q:\n%v", w.field, w.line, w.text, err)
		}
	}
	if len(problems) != len(want) {
		t.Errorf("%d problems, want %d:\n%v", len(problems), len(want), err)
	}
}

func containsProblem(ps checked.Problems, field string, line int, text string) bool {
	for _, p := range ps {
		if p.Field == field && p.Line == line && strings.Contains(p.Text, text) {
			return true
		}
	}
	return false
}

func TestSyntaxErrorHasPosition(t *testing.T) {
	_, err := Parse("bad.json", []byte("{\n  \"name\": \"x\",\n  oops\n}"))
	if err == nil || !strings.HasPrefix(err.Error(), "bad.json:3:") {
		t.Fatalf("got error %v, want one at line 3", err)
	}
}

// The schema has exactly the fields of the struct.
func TestSchemaMatchesStruct(t *testing.T) {
	var schema map[string]any
	if err := json.Unmarshal(settingsSchemaJSON, &schema); err != nil {
		t.Fatal(err)
	}
	compareFields(t, "", schema, reflect.TypeFor[Settings]())
}

func compareFields(t *testing.T, path string, schema map[string]any, s reflect.Type) {
	t.Helper()
	properties, _ := schema["properties"].(map[string]any)
	for i := range s.NumField() {
		name := s.Field(i).Tag.Get("json")
		inner, ok := properties[name].(map[string]any)
		if !ok {
			t.Errorf("the schema lacks %s/%s", path, name)
			continue
		}
		delete(properties, name)
		if s.Field(i).Type.Kind() == reflect.Struct {
			compareFields(t, path+"/"+name, inner, s.Field(i).Type)
		}
	}
	for name := range properties {
		t.Errorf("the struct lacks %s/%s", path, name)
	}
}

// Parse must not panic on any data, and must accept the encoded form of its own result.
func FuzzParse(f *testing.F) {
	example, err := Example().JSON()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(example)
	f.Add([]byte(invalidSettings))
	f.Add([]byte("{"))
	f.Add([]byte("null"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("fuzz.json", data)
		if err != nil {
			return
		}
		encoded, err := s.JSON()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse("again.json", encoded); err != nil {
			t.Fatalf("accepted %s and then refused its encoded form %s: %v", data, encoded, err)
		}
	})
}
