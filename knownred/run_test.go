package main

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// redTest, redParts and redFirst are lines of a list. The packages are those whose
// recorded runs are in testdata.
const (
	redTest  = "sample/red TestRed: counts too few, issue 30\n"
	redParts = "sample/parts TestParts: parts differ, issue 30\n"
	redFirst = "sample/parts TestParts/first: first differs, issue 30\n"
)

// redOf is a line that lists TestRed of a package.
func redOf(pkg string) string { return "sample/" + pkg + " TestRed: known, issue 30\n" }

// recorded returns the recorded runs of some packages as one run, with the exit code
// that go test gave for them.
func recorded(t *testing.T, names ...string) string {
	t.Helper()
	var events strings.Builder
	code := "exit 0\n"
	for _, name := range names {
		data, err := os.ReadFile(filepath.Join("testdata", name+".json"))
		if err != nil {
			t.Fatal(err)
		}
		text, failed := strings.CutSuffix(string(data), "exit 1\n")
		if failed {
			code = "exit 1\n"
		}
		events.WriteString(strings.TrimSuffix(text, "exit 0\n"))
	}
	return events.String() + code
}

// judged returns the problems of a run and what was printed.
func judged(t *testing.T, list, input string) (problems []string, printed string) {
	t.Helper()
	reds, err := parseList(list)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	r := newRun(reds, &out)
	if err := r.read(strings.NewReader(input)); err != nil {
		t.Fatal(err)
	}
	r.end()
	return r.problems, out.String()
}

func TestRule(t *testing.T) {
	const outside = " failed outside of its tests, or did not run all of them"
	for _, c := range []struct {
		name, list string
		runs       []string
		want       []string
	}{
		{"all pass", "", []string{"green", "none"}, nil},
		{"a test fails", "", []string{"green", "red"}, []string{"sample/red TestRed failed"}},
		{"a listed test fails", redTest, []string{"green", "red"}, nil},
		{"a test fails beside a listed one", redTest, []string{"red", "parts"}, []string{
			"sample/parts TestParts failed", "sample/parts TestParts/first failed",
		}},
		{"a test of the same name fails elsewhere", redOf("skips"), []string{"red", "skips"}, []string{
			"sample/red TestRed failed", "sample/skips TestRed is listed and was skipped",
		}},
		{"a listed test has parts", redParts, []string{"parts"}, nil},
		{"a listed part fails", redFirst, []string{"parts"}, nil},
		{"the whole fails beside a listed part", "sample/partsown TestParts/first: known, issue 30", []string{"partsown"}, []string{
			"sample/partsown TestParts failed",
		}},
		{"another part fails", "sample/parts TestParts/second: known, issue 30", []string{"parts"}, []string{
			"sample/parts TestParts failed", "sample/parts TestParts/first failed",
			"sample/parts TestParts/second is listed and passed: take it off the list",
		}},
		{"the start of a name is listed", "sample/red TestRe: known, issue 30", []string{"red"}, []string{
			"sample/red TestRed failed", "sample/red TestRe is listed and did not run to its end",
		}},
		{"a listed test passes", "sample/green TestGreen: known, issue 30", []string{"green"}, []string{
			"sample/green TestGreen is listed and passed: take it off the list",
		}},
		{"a listed test is skipped", redOf("skips"), []string{"skips"}, []string{
			"sample/skips TestRed is listed and was skipped",
		}},
		{"a listed test is not there", "sample/green TestGone: known, issue 30", []string{"green"}, []string{
			"sample/green TestGone is listed and did not run to its end",
		}},
		{"a listed package is not there", redOf("gone"), []string{"green"}, []string{
			"sample/gone TestRed is listed and did not run to its end",
		}},
		{"a package does not build", redTest, []string{"broken", "red"}, []string{
			"sample/broken [sample/broken.test] does not build", "sample/broken" + outside,
		}},
		{"a listed test panics", redOf("panics"), []string{"panics"}, []string{"sample/panics" + outside}},
		{"a listed test times out", redOf("slow"), []string{"slow"}, []string{
			"sample/slow" + outside, "sample/slow TestRed is listed and did not run to its end",
		}},
		{"a test ends the process after a listed one", redOf("leaves"), []string{"leaves"}, []string{"sample/leaves" + outside}},
		{"a listed test has a race", redOf("races"), []string{"races"}, nil},
		{"a test has a race", redTest, []string{"races", "red"}, []string{
			"sample/races has a data race outside of the known red tests", "sample/races TestRed failed",
		}},
		{"a race outside of the listed test", redOf("racelate"), []string{"racelate"}, []string{
			"sample/racelate has a data race outside of the known red tests",
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			problems, _ := judged(t, c.list, recorded(t, c.runs...))
			if !slices.Equal(problems, c.want) {
				t.Errorf("problems:\n%s\nwant:\n%s", strings.Join(problems, "\n"), strings.Join(c.want, "\n"))
			}
		})
	}
}

// A run whose output is cut off or does not agree with its exit code fails.
func TestUnclearRun(t *testing.T) {
	green, red := recorded(t, "green"), recorded(t, "red")
	half := red[:strings.Index(red, "{\"Action\":\"fail\",\"Package\":\"sample/red\",\"Elapsed\"")]
	for _, c := range []struct {
		name, list, input, want string
	}{
		{"nothing", "", "exit 0\n", "no package was tested"},
		{"nothing but a listed test", redTest, "exit 0\n", "sample/red TestRed is listed and did not run to its end"},
		{"no exit code", "", strings.TrimSuffix(green, "exit 0\n"), "the exit code of go test is missing"},
		{"another exit code", "", strings.Replace(green, "exit 0", "exit 1", 1), "go test ended with 1, its output says 0"},
		{"exit code 0 in spite of a failure", redTest, strings.Replace(red, "exit 1", "exit 0", 1), "go test ended with 0, its output says 1"},
		{"killed", redTest, strings.Replace(red, "exit 1", "exit 137", 1), "go test ended with 137, its output says 1"},
		{"a package without an end", redTest, half + "exit 1\n", "sample/red did not end"},
		{"not JSON", "", "no space left\n" + green, "go test printed a line that is not JSON: no space left"},
	} {
		t.Run(c.name, func(t *testing.T) {
			problems, _ := judged(t, c.list, c.input)
			if !slices.Contains(problems, c.want) {
				t.Errorf("problems:\n%s\nwant among them:\n%s", strings.Join(problems, "\n"), c.want)
			}
		})
	}
}

func TestPrinted(t *testing.T) {
	_, printed := judged(t, redTest, recorded(t, "broken", "green", "none", "red"))
	const want = "# sample/broken [sample/broken.test]\n" +
		"broken/x_test.go:3:33: undefined: undefined\n" +
		"FAIL\tsample/broken [build failed]\n" +
		"ok  \tsample/green\t1.018s\n" +
		"?   \tsample/none\t[no test files]\n" +
		"    x_test.go:3: counted 3, want 4\n" +
		"--- FAIL: TestRed (0.00s)\n" +
		"FAIL\n" +
		"FAIL\tsample/red\t0.019s\n"
	if printed != want {
		t.Errorf("printed:\n%s\nwant:\n%s", printed, want)
	}
	_, printed = judged(t, redOf("panics"), recorded(t, "panics"))
	if !strings.Contains(printed, "panic: out of order") {
		t.Errorf("the panic is not printed:\n%s", printed)
	}
}

func TestList(t *testing.T) {
	for _, c := range []struct{ name, list, want string }{
		{"empty", "", ""},
		{"empty lines", "\n\n", ""},
		{"three", redTest + redParts + redFirst, ""},
		{"four", redTest + redParts + redFirst + redOf("green"), "4 known red tests, at most 3 are allowed"},
		{"twice", redTest + redTest, "known red test TestRed of sample/red is listed twice"},
		{"no cause", "sample/red TestRed: , issue 30", "is not of the form"},
		{"no issue", "sample/red TestRed: counts too few", "is not of the form"},
		{"no number", "sample/red TestRed: counts too few, issue none", "is not of the form"},
		{"no package", "TestRed: counts too few, issue 30", "is not of the form"},
		{"a pattern", "sample/red .*: counts too few, issue 30", "is not of the form"},
		{"a remark", "# nothing is red", "is not of the form"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := parseList(c.list)
			if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v, want %q", err, c.want)
			}
		})
	}
}

// The whole program: no list is an empty one, and a problem is an error.
func TestCheck(t *testing.T) {
	list := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	run := recorded(t, "red")
	if err := check(list, strings.NewReader(run), &strings.Builder{}); err == nil {
		t.Error("a test that is not listed failed, and the run passed")
	}
	if err := os.WriteFile(list, []byte(redTest), 0o600); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := check(list, strings.NewReader(run), &out); err != nil {
		t.Errorf("a listed test failed, and the run with it: %v", err)
	}
	if !strings.HasSuffix(out.String(), "known red: "+redTest) {
		t.Errorf("the listed test is not printed at the end:\n%s", out.String())
	}
}
