// Knownred judges a run of the project's tests against the list of tests that are
// known to fail, KNOWN-RED.txt. A listed test may fail; everything else that goes
// wrong fails the run, and so does a listed test that passes or did not run.
//
// # Usage
//
// It reads the output of go test -json, followed by a line with its exit code, and
// prints what go test prints without -json:
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

// check reads the list and a run, prints both and returns an error if the run fails.
func check(list string, in io.Reader, out io.Writer) error {
	reds, err := readList(list)
	if err != nil {
		return err
	}
	r := newRun(reds, out)
	if err := r.read(in); err != nil {
		return fmt.Errorf("read the output of go test: %w", err)
	}
	r.end()
	for _, red := range reds {
		fmt.Fprintln(out, "known red:", red.line)
	}
	for _, p := range r.problems {
		fmt.Fprintln(out, "not passed over:", p)
	}
	if len(r.problems) > 0 {
		return fmt.Errorf("%d problems beside the known red tests", len(r.problems))
	}
	return nil
}
