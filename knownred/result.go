package main

import (
	"fmt"
	"io"
	"strings"
)

// print writes what go test prints without -json: the last line, and for a package that
// failed also all output except that of tests that passed.
func (p *packageResult) print(w io.Writer, failed bool) {
	for i, e := range p.output {
		isLast := i == len(p.output)-1
		hidden := e.Test != "" && p.tests[e.Test] == "pass" && p.completed() || isRunMarker(e.Output)
		if isLast || failed && !hidden {
			fmt.Fprint(w, e.Output)
		}
	}
}

// completed reports whether a package that failed ran all of its tests. The testing
// package then writes FAIL, and go test a line with FAIL and the package. After a
// panic, a timeout or a call of os.Exit the first of the two is missing.
func (p *packageResult) completed() bool {
	n := len(p.output)
	if n < 2 {
		return false
	}
	fail, last := p.output[n-2], p.output[n-1]
	return fail.Test == "" && fail.Output == "FAIL\n" && strings.HasPrefix(last.Output, "FAIL\t")
}

// wroteNothing reports whether a test wrote nothing itself; its subtests may have.
func (p *packageResult) wroteNothing(test string) bool {
	for _, e := range p.output {
		if e.Test == test && !isRunMarker(e.Output) && !strings.HasPrefix(e.Output, "--- ") {
			return false
		}
	}
	return true
}

// isRunMarker reports whether a line only says which test runs, such as "=== RUN".
func isRunMarker(line string) bool { return strings.HasPrefix(line, "=== ") }
