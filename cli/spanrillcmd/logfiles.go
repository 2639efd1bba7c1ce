package spanrillcmd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"
)

// maxLineBytes is the length of the longest log line that can be read.
const maxLineBytes = 1 << 20

// readLogs calls read with each log file, or with standard input if names is empty.
func readLogs(names []string, read func(io.Reader) error) error {
	if len(names) == 0 {
		if err := read(os.Stdin); err != nil {
			return fmt.Errorf("read standard input: %w", err)
		}
	}
	for _, name := range names {
		if err := readLogFile(name, read); err != nil {
			return err
		}
	}
	return nil
}

func readLogFile(name string, read func(io.Reader) error) error {
	f, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = f.Close() }()
	if err := read(f); err != nil {
		return fmt.Errorf("read %s: %w", name, err)
	}
	return nil
}

// scanLog calls handle for each line: with the text from its first brace on, which drops a prefix
// before the JSON object, or with nil if the line has no brace.
func scanLog(r io.Reader, handle func(object []byte)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			handle(nil)
			continue
		}
		handle(scanner.Bytes()[start:])
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("scan log: %w", err)
	}
	return nil
}
