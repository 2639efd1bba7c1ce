package main

import (
	"fmt"
	"io/fs"
	"os"
	"regexp"
	"strings"

	"github.com/pkg/errors"
)

// maxKnownFailures is the maximum length of the list (CONTRIBUTING.md).
const maxKnownFailures = 3

// knownFailure is a line of the list: a test that is known to fail.
type knownFailure struct {
	line, pkg, test string
}

// linePattern matches a line: package, test, cause and issue number.
var linePattern = regexp.MustCompile(`^(\S+) ((?:Test|Fuzz|Example)\S*): \S.*, issue [0-9]+$`)

// readList reads the list from a file. A missing file is an empty list.
func readList(file string) ([]knownFailure, error) {
	data, err := os.ReadFile(file)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("read the list of known red tests: %w", err)
	}
	return parseList(string(data))
}

// parseList parses a list of at most maxKnownFailures tests. It skips empty lines.
func parseList(text string) ([]knownFailure, error) {
	var known []knownFailure
	seen := map[[2]string]bool{}
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		match := linePattern.FindStringSubmatch(line)
		if match == nil {
			return nil, fmt.Errorf("known red test %q is not of the form \"package TestName: cause, issue N\"", line)
		}
		if key := [2]string{match[1], match[2]}; seen[key] {
			return nil, fmt.Errorf("known red test %s of %s is listed twice", match[2], match[1])
		}
		seen[[2]string{match[1], match[2]}] = true
		known = append(known, knownFailure{line: line, pkg: match[1], test: match[2]})
	}
	if len(known) > maxKnownFailures {
		return nil, fmt.Errorf("%d known red tests, at most %d are allowed", len(known), maxKnownFailures)
	}
	return known, nil
}
