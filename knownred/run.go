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

// event is a line of go test -json. Action is one of those of "go doc test2json" or
// of "go help buildjson".
type event struct {
	Action, Package, ImportPath, Test, Output string
}

// run is what is known of a run of go test.
type run struct {
	reds     []red
	out      io.Writer
	packages map[string]*outcome
	problems []string
	failed   int    // packages that failed
	exit     string // the exit code of go test, empty until it is read
}

// outcome is what is known of one package.
type outcome struct {
	output []event
	tests  map[string]string // how each test ended: pass, fail or skip
	ended  bool
}

func newRun(reds []red, out io.Writer) *run {
	return &run{reds: reds, out: out, packages: map[string]*outcome{}}
}

func (r *run) problem(format string, args ...any) {
	r.problems = append(r.problems, fmt.Sprintf(format, args...))
}

// read takes all lines of a run.
func (r *run) read(in io.Reader) error {
	lines := bufio.NewReader(in)
	for {
		line, err := lines.ReadString('\n')
		if line != "" {
			r.take(line)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (r *run) take(line string) {
	if code, ok := strings.CutPrefix(line, "exit "); ok {
		r.exit = strings.TrimSpace(code)
		return
	}
	var e event
	if err := json.Unmarshal([]byte(line), &e); err != nil {
		fmt.Fprint(r.out, line)
		r.problem("go test printed a line that is not JSON: %s", strings.TrimSpace(line))
		return
	}
	r.takeEvent(e)
}

func (r *run) takeEvent(e event) {
	switch {
	case e.Action == "build-output":
		fmt.Fprint(r.out, e.Output)
	case e.Action == "build-fail":
		r.problem("%s does not build", e.ImportPath)
	case e.Action == "output":
		o := r.outcome(e.Package)
		o.output = append(o.output, e)
	case e.Action != "pass" && e.Action != "fail" && e.Action != "skip":
		r.outcome(e.Package)
	case e.Test != "":
		r.outcome(e.Package).tests[e.Test] = e.Action
	default:
		r.endPackage(e.Package, e.Action)
	}
}

func (r *run) outcome(pkg string) *outcome {
	if r.packages[pkg] == nil {
		r.packages[pkg] = &outcome{tests: map[string]string{}}
	}
	return r.packages[pkg]
}

// endPackage prints a package's output and judges it.
func (r *run) endPackage(pkg, action string) {
	o := r.outcome(pkg)
	o.ended = true
	o.print(r.out, action == "fail")
	r.judgeRaces(pkg, o)
	if action != "fail" {
		return
	}
	r.failed++
	if !o.normal() {
		r.problem("%s failed outside of its tests, or did not run all of them", pkg)
	}
	r.judgeTests(pkg, o)
}

// judgeTests finds tests that failed and may not.
func (r *run) judgeTests(pkg string, o *outcome) {
	for _, test := range sortedKeys(o.tests) {
		if o.tests[test] == "fail" && !r.mayFail(pkg, o, test) {
			r.problem("%s %s failed", pkg, test)
		}
	}
}

// judgeRaces finds data races outside of the tests that may fail.
func (r *run) judgeRaces(pkg string, o *outcome) {
	for _, e := range o.output {
		if strings.HasPrefix(e.Output, "WARNING: DATA RACE") && !r.mayFail(pkg, o, e.Test) {
			r.problem("%s has a data race outside of the known red tests", pkg)
			return
		}
	}
}

// mayFail reports whether a test is listed, is a part of one that is, or failed for
// nothing but a listed part of it.
func (r *run) mayFail(pkg string, o *outcome, test string) bool {
	for _, red := range r.reds {
		if red.pkg != pkg {
			continue
		}
		if test == red.test || strings.HasPrefix(test, red.test+"/") {
			return true
		}
		if test != "" && strings.HasPrefix(red.test, test+"/") && o.tests[red.test] == "fail" && o.silent(test) {
			return true
		}
	}
	return false
}

// end judges what is known when the run is over.
func (r *run) end() {
	for _, pkg := range sortedKeys(r.packages) {
		if !r.packages[pkg].ended {
			r.packages[pkg].print(r.out, true)
			r.problem("%s did not end", pkg)
		}
	}
	for _, red := range r.reds {
		r.judgeRed(red)
	}
	r.judgeExit()
}

// judgeRed finds listed tests that do not fail.
func (r *run) judgeRed(red red) {
	o := r.packages[red.pkg]
	if o == nil {
		o = &outcome{}
	}
	switch o.tests[red.test] {
	case "fail":
	case "pass":
		r.problem("%s %s is listed and passed: take it off the list", red.pkg, red.test)
	case "skip":
		r.problem("%s %s is listed and was skipped", red.pkg, red.test)
	default:
		r.problem("%s %s is listed and did not run to its end", red.pkg, red.test)
	}
}

// judgeExit holds the exit code of go test against what was read.
func (r *run) judgeExit() {
	want := "0"
	if r.failed > 0 {
		want = "1"
	}
	switch {
	case len(r.packages) == 0:
		r.problem("no package was tested")
	case r.exit == "":
		r.problem("the exit code of go test is missing")
	case r.exit != want:
		r.problem("go test ended with %s, its output says %s", r.exit, want)
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
