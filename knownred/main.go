// Knownred checks the results of go test against KNOWN-RED.txt, the list of tests
// that are known to fail. A listed test may fail. Any other failure is a problem, and
// so is a listed test that passes, is skipped or does not run.
//
// # Usage
//
// It reads the output of go test -json, followed by a line with its exit code, prints
// what go test prints without -json, and exits with 1 if there is a problem:
//
//	{ code=0; go test -json ./... || code=$?; echo "exit $code"; } | knownred KNOWN-RED.txt
package main

import (
	"fmt"
	"io"
	"os"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: knownred LIST <OUTPUT")
		os.Exit(2)
	}
	if err := check(os.Args[1], os.Stdin, os.Stdout); err != nil {
		fmt.Println("FAIL:", err)
		os.Exit(1)
	}
}

// check compares a test run with the list, prints both, and returns an error if there
// are problems.
func check(list string, in io.Reader, out io.Writer) error {
	known, err := readList(list)
	if err != nil {
		return err
	}
	r := newTestRun(known, out)
	if err := r.read(in); err != nil {
		return fmt.Errorf("read the output of go test: %w", err)
	}
	r.finish()
	for _, failure := range known {
		fmt.Fprintln(out, "known red:", failure.line)
	}
	for _, p := range r.problems {
		fmt.Fprintln(out, "problem:", p)
	}
	if len(r.problems) > 0 {
		return fmt.Errorf("%d problems other than known red tests", len(r.problems))
	}
	return nil
}
