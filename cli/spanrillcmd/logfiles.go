package spanrillcmd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"
)

// maxLineBytes limits the length of a log line. A longer line ends the reading with an error.
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

// scanLog calls handle for each line with its JSON object, which is the text from the first brace
// on, or with nil if the line has no brace. The object is valid only during the call.
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
