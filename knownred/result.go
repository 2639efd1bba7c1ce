package main

import (
	"fmt"
	"io"
	"strings"
)

// print writes what go test prints without -json: the closing line, and for a package
// that failed what it wrote outside of tests that passed.
func (o *outcome) print(w io.Writer, failed bool) {
	for i, e := range o.output {
		closing := i == len(o.output)-1
		hidden := e.Test != "" && o.tests[e.Test] == "pass" && o.normal() || isProgress(e.Output)
		if closing || failed && !hidden {
			fmt.Fprint(w, e.Output)
		}
	}
}

// normal reports whether a package that failed came to the end of its tests. The
// testing package then writes FAIL, and go test a line with FAIL and the package.
// After a panic, a time-out or a call of os.Exit the first of the two is missing.
func (o *outcome) normal() bool {
	n := len(o.output)
	if n < 2 {
		return false
	}
	fail, closing := o.output[n-2], o.output[n-1]
	return fail.Test == "" && fail.Output == "FAIL\n" && strings.HasPrefix(closing.Output, "FAIL\t")
}

// silent reports whether a test wrote nothing itself, its parts apart.
func (o *outcome) silent(test string) bool {
	for _, e := range o.output {
		if e.Test == test && !isProgress(e.Output) && !strings.HasPrefix(e.Output, "--- ") {
			return false
		}
	}
	return true
}

// isProgress reports whether a line only says which test runs.
func isProgress(line string) bool { return strings.HasPrefix(line, "=== ") }
