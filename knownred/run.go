package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/pkg/errors"
)

// event is a line of the output of go test -json. "go doc test2json" and "go help
// buildjson" list the values of Action.
type event struct {
	Action, Package, ImportPath, Test, Output string
}

// testRun collects the results and problems of one run of go test.
type testRun struct {
	knownFailures  []knownFailure
	out            io.Writer
	packages       map[string]*packageResult
	problems       []string
	failedPackages int    // number of packages that failed
	exitCode       string // of go test; empty until its line is read
}

// packageResult is the output of one package and the results of its tests.
type packageResult struct {
	output   []event
	tests    map[string]string // pass, fail or skip by test name
	finished bool
}

func newTestRun(known []knownFailure, out io.Writer) *testRun {
	return &testRun{knownFailures: known, out: out, packages: map[string]*packageResult{}}
}

func (r *testRun) addProblem(format string, args ...any) {
	r.problems = append(r.problems, fmt.Sprintf(format, args...))
}

// read handles all lines of the input.
func (r *testRun) read(in io.Reader) error {
	lines := bufio.NewReader(in)
	for {
		line, err := lines.ReadString('\n')
		if line != "" {
			r.readLine(line)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readLine handles one line: the exit code of go test or an event.
func (r *testRun) readLine(line string) {
	if code, ok := strings.CutPrefix(line, "exit "); ok {
		r.exitCode = strings.TrimSpace(code)
		return
	}
	var e event
	if err := json.Unmarshal([]byte(line), &e); err != nil {
		fmt.Fprint(r.out, line)
		r.addProblem("go test printed a line that is not JSON: %s", strings.TrimSpace(line))
		return
	}
	r.handleEvent(e)
}

func (r *testRun) handleEvent(e event) {
	switch {
	case e.Action == "build-output":
		fmt.Fprint(r.out, e.Output)
	case e.Action == "build-fail":
		r.addProblem("%s does not build", e.ImportPath)
	case e.Action == "output":
		p := r.result(e.Package)
		p.output = append(p.output, e)
	case e.Action != "pass" && e.Action != "fail" && e.Action != "skip":
		r.result(e.Package) // such as start or run: the package must finish
	case e.Test != "":
		r.result(e.Package).tests[e.Test] = e.Action
	default:
		r.finishPackage(e.Package, e.Action)
	}
}

// result returns the result of a package, and adds an empty one for a new package.
func (r *testRun) result(pkg string) *packageResult {
	if r.packages[pkg] == nil {
		r.packages[pkg] = &packageResult{tests: map[string]string{}}
	}
	return r.packages[pkg]
}

// finishPackage prints the output of a package that has ended and records its problems.
func (r *testRun) finishPackage(pkg, action string) {
	p := r.result(pkg)
	p.finished = true
	p.print(r.out, action == "fail")
	r.checkRaces(pkg, p)
	if action != "fail" {
		return
	}
	r.failedPackages++
	if !p.completed() {
		r.addProblem("%s failed outside its tests or did not run all of them", pkg)
	}
	r.checkTests(pkg, p)
}

// checkTests records a problem for each failed test that the list does not cover.
func (r *testRun) checkTests(pkg string, p *packageResult) {
	for _, test := range sortedKeys(p.tests) {
		if p.tests[test] == "fail" && !r.mayFail(pkg, p, test) {
			r.addProblem("%s %s failed", pkg, test)
		}
	}
}

// checkRaces records a problem if a data race is reported outside the listed tests.
func (r *testRun) checkRaces(pkg string, p *packageResult) {
	for _, e := range p.output {
		if strings.HasPrefix(e.Output, "WARNING: DATA RACE") && !r.mayFail(pkg, p, e.Test) {
			r.addProblem("%s has a data race outside the known red tests", pkg)
			return
		}
	}
}

// mayFail reports whether a test is listed, is a subtest of a listed test, or is the
// parent of a listed subtest that failed and wrote nothing itself.
func (r *testRun) mayFail(pkg string, p *packageResult, test string) bool {
	for _, known := range r.knownFailures {
		if known.pkg != pkg {
			continue
		}
		if test == known.test || strings.HasPrefix(test, known.test+"/") {
			return true
		}
		if test != "" && strings.HasPrefix(known.test, test+"/") && p.tests[known.test] == "fail" && p.wroteNothing(test) {
			return true
		}
	}
	return false
}

// finish records the problems that only the end of the input reveals.
func (r *testRun) finish() {
	for _, pkg := range sortedKeys(r.packages) {
		if !r.packages[pkg].finished {
			r.packages[pkg].print(r.out, true)
			r.addProblem("%s did not finish", pkg)
		}
	}
	for _, known := range r.knownFailures {
		r.checkKnownFailure(known)
	}
	r.checkExitCode()
}

// checkKnownFailure records a problem if a listed test did not fail.
func (r *testRun) checkKnownFailure(known knownFailure) {
	p := r.packages[known.pkg]
	if p == nil {
		p = &packageResult{}
	}
	switch p.tests[known.test] {
	case "fail":
	case "pass":
		r.addProblem("%s %s is listed but passed: remove it from the list", known.pkg, known.test)
	case "skip":
		r.addProblem("%s %s is listed but was skipped", known.pkg, known.test)
	default:
		r.addProblem("%s %s is listed but did not finish", known.pkg, known.test)
	}
}

// checkExitCode records a problem if the exit code of go test is missing or does not fit
// the failures in its output, or if no package was tested.
func (r *testRun) checkExitCode() {
	want := "0"
	if r.failedPackages > 0 {
		want = "1"
	}
	switch {
	case len(r.packages) == 0:
		r.addProblem("no package was tested")
	case r.exitCode == "":
		r.addProblem("the exit code of go test is missing")
	case r.exitCode != want:
		r.addProblem("go test exited with %s, but its output implies %s", r.exitCode, want)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
