package main

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// Lines of a list. The output of their packages is recorded in testdata.
const (
	listedTest    = "sample/red TestRed: counts too few, issue 30\n"
	listedParent  = "sample/parts TestParts: parts differ, issue 30\n"
	listedSubtest = "sample/parts TestParts/first: first differs, issue 30\n"
)

// listRed returns the line that lists TestRed of a package.
func listRed(pkg string) string { return "sample/" + pkg + " TestRed: known, issue 30\n" }

// recordedRun joins the recorded output of the named packages into one run, with the exit
// code that go test returns for it.
func recordedRun(t *testing.T, names ...string) string {
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

// checkRun returns the problems of a run and the printed output.
func checkRun(t *testing.T, list, input string) (problems []string, printed string) {
	t.Helper()
	known, err := parseList(list)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	r := newTestRun(known, &out)
	if err := r.read(strings.NewReader(input)); err != nil {
		t.Fatal(err)
	}
	r.finish()
	return r.problems, out.String()
}

// Each failure that the list does not cover is a problem, and so is each listed test that
// does not fail.
func TestProblems(t *testing.T) {
	const outside = " failed outside its tests or did not run all of them"
	for _, c := range []struct {
		name, list string
		runs       []string
		want       []string
	}{
		{"all pass", "", []string{"green", "none"}, nil},
		{"a test fails", "", []string{"green", "red"}, []string{"sample/red TestRed failed"}},
		{"a listed test fails", listedTest, []string{"green", "red"}, nil},
		{"a test fails in addition to a listed one", listedTest, []string{"red", "parts"}, []string{
			"sample/parts TestParts failed", "sample/parts TestParts/first failed",
		}},
		{"a test of the same name fails in another package", listRed("skips"), []string{"red", "skips"}, []string{
			"sample/red TestRed failed", "sample/skips TestRed is listed but was skipped",
		}},
		{"a listed test has subtests", listedParent, []string{"parts"}, nil},
		{"a listed subtest fails", listedSubtest, []string{"parts"}, nil},
		{"a parent fails by itself and has a listed subtest", "sample/partsown TestParts/first: known, issue 30", []string{"partsown"}, []string{
			"sample/partsown TestParts failed",
		}},
		{"another subtest fails", "sample/parts TestParts/second: known, issue 30", []string{"parts"}, []string{
			"sample/parts TestParts failed", "sample/parts TestParts/first failed",
			"sample/parts TestParts/second is listed but passed: remove it from the list",
		}},
		{"a prefix of a name is listed", "sample/red TestRe: known, issue 30", []string{"red"}, []string{
			"sample/red TestRed failed", "sample/red TestRe is listed but did not finish",
		}},
		{"a listed test passes", "sample/green TestGreen: known, issue 30", []string{"green"}, []string{
			"sample/green TestGreen is listed but passed: remove it from the list",
		}},
		{"a listed test is skipped", listRed("skips"), []string{"skips"}, []string{
			"sample/skips TestRed is listed but was skipped",
		}},
		{"a listed test does not exist", "sample/green TestGone: known, issue 30", []string{"green"}, []string{
			"sample/green TestGone is listed but did not finish",
		}},
		{"a listed package does not exist", listRed("gone"), []string{"green"}, []string{
			"sample/gone TestRed is listed but did not finish",
		}},
		{"a package does not build", listedTest, []string{"broken", "red"}, []string{
			"sample/broken [sample/broken.test] does not build", "sample/broken" + outside,
		}},
		{"a listed test panics", listRed("panics"), []string{"panics"}, []string{"sample/panics" + outside}},
		{"a listed test times out", listRed("slow"), []string{"slow"}, []string{
			"sample/slow" + outside, "sample/slow TestRed is listed but did not finish",
		}},
		{"a test calls os.Exit after a listed one", listRed("leaves"), []string{"leaves"}, []string{"sample/leaves" + outside}},
		{"a listed test has a race", listRed("races"), []string{"races"}, nil},
		{"a test has a race", listedTest, []string{"races", "red"}, []string{
			"sample/races has a data race outside the known red tests", "sample/races TestRed failed",
		}},
		{"a race outside the listed test", listRed("racelate"), []string{"racelate"}, []string{
			"sample/racelate has a data race outside the known red tests",
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			problems, _ := checkRun(t, c.list, recordedRun(t, c.runs...))
			if !slices.Equal(problems, c.want) {
				t.Errorf("problems:\n%s\nwant:\n%s", strings.Join(problems, "\n"), strings.Join(c.want, "\n"))
			}
		})
	}
}

// Input that is truncated or contradicts the exit code is a problem.
func TestInconsistentInput(t *testing.T) {
	green, red := recordedRun(t, "green"), recordedRun(t, "red")
	truncated := red[:strings.Index(red, "{\"Action\":\"fail\",\"Package\":\"sample/red\",\"Elapsed\"")]
	for _, c := range []struct {
		name, list, input, want string
	}{
		{"empty", "", "exit 0\n", "no package was tested"},
		{"empty with a listed test", listedTest, "exit 0\n", "sample/red TestRed is listed but did not finish"},
		{"no exit code", "", strings.TrimSuffix(green, "exit 0\n"), "the exit code of go test is missing"},
		{"exit code 1 without a failure", "", strings.Replace(green, "exit 0", "exit 1", 1), "go test exited with 1, but its output implies 0"},
		{"exit code 0 despite a failure", listedTest, strings.Replace(red, "exit 1", "exit 0", 1), "go test exited with 0, but its output implies 1"},
		{"killed", listedTest, strings.Replace(red, "exit 1", "exit 137", 1), "go test exited with 137, but its output implies 1"},
		{"a package that did not finish", listedTest, truncated + "exit 1\n", "sample/red did not finish"},
		{"not JSON", "", "no space left\n" + green, "go test printed a line that is not JSON: no space left"},
	} {
		t.Run(c.name, func(t *testing.T) {
			problems, _ := checkRun(t, c.list, c.input)
			if !slices.Contains(problems, c.want) {
				t.Errorf("problems:\n%s\nwant among them:\n%s", strings.Join(problems, "\n"), c.want)
			}
		})
	}
}

// The printed output is that of go test without -json.
func TestOutput(t *testing.T) {
	_, printed := checkRun(t, listedTest, recordedRun(t, "broken", "green", "none", "red"))
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
	_, printed = checkRun(t, listRed("panics"), recordedRun(t, "panics"))
	if !strings.Contains(printed, "panic: out of order") {
		t.Errorf("printed output lacks the panic:\n%s", printed)
	}
}

// A list has at most three lines of the given form, each test once.
func TestParseList(t *testing.T) {
	for _, c := range []struct{ name, list, want string }{
		{"empty", "", ""},
		{"empty lines", "\n\n", ""},
		{"three lines", listedTest + listedParent + listedSubtest, ""},
		{"four lines", listedTest + listedParent + listedSubtest + listRed("green"), "4 known red tests, at most 3 are allowed"},
		{"a test listed twice", listedTest + listedTest, "known red test TestRed of sample/red is listed twice"},
		{"no cause", "sample/red TestRed: , issue 30", "is not of the form"},
		{"no issue", "sample/red TestRed: counts too few", "is not of the form"},
		{"no issue number", "sample/red TestRed: counts too few, issue none", "is not of the form"},
		{"no package", "TestRed: counts too few, issue 30", "is not of the form"},
		{"a pattern instead of a test name", "sample/red .*: counts too few, issue 30", "is not of the form"},
		{"a comment", "# nothing is red", "is not of the form"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := parseList(c.list)
			if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
				t.Errorf("parseList returned error %v, want one that contains %q, or none if empty", err, c.want)
			}
		})
	}
}

// A missing list file is an empty list, and a problem is an error.
func TestCheck(t *testing.T) {
	list := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	run := recordedRun(t, "red")
	if err := check(list, strings.NewReader(run), &strings.Builder{}); err == nil {
		t.Error("check returned no error for a failed test that is not listed")
	}
	if err := os.WriteFile(list, []byte(listedTest), 0o600); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := check(list, strings.NewReader(run), &out); err != nil {
		t.Errorf("check returned an error for a failed test that is listed: %v", err)
	}
	if !strings.HasSuffix(out.String(), "known red: "+listedTest) {
		t.Errorf("output does not end with the listed test:\n%s", out.String())
	}
}
