package main

import (
	"fmt"
	"io/fs"
	"os"
	"regexp"
	"strings"

	"github.com/pkg/errors"
)

// maxReds is how many tests may be known to fail at a time (CONTRIBUTING.md).
const maxReds = 3

// red is a test that is known to fail.
type red struct {
	line, pkg, test string
}

// lineForm is the form of a line: package, test, cause and the number of the issue.
var lineForm = regexp.MustCompile(`^(\S+) ((?:Test|Fuzz|Example)\S*): \S.*, issue [0-9]+$`)

// readList reads a list from a file. No file is an empty list.
func readList(file string) ([]red, error) {
	data, err := os.ReadFile(file)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("read the list of known red tests: %w", err)
	}
	return parseList(string(data))
}

// parseList reads a list of at most maxReds lines. Empty lines do not count.
func parseList(text string) ([]red, error) {
	var reds []red
	seen := map[[2]string]bool{}
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		m := lineForm.FindStringSubmatch(line)
		if m == nil {
			return nil, fmt.Errorf("known red test %q is not of the form \"package TestName: cause, issue N\"", line)
		}
		if key := [2]string{m[1], m[2]}; seen[key] {
			return nil, fmt.Errorf("known red test %s of %s is listed twice", m[2], m[1])
		}
		seen[[2]string{m[1], m[2]}] = true
		reds = append(reds, red{line: line, pkg: m[1], test: m[2]})
	}
	if len(reds) > maxReds {
		return nil, fmt.Errorf("%d known red tests, at most %d are allowed", len(reds), maxReds)
	}
	return reds, nil
}
