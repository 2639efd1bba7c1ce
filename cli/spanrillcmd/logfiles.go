package spanrillcmd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"
)

// maxLine bounds one line of a log.
const maxLine = 1 << 20

// eachLog reads log files, or standard input if none is named.
func eachLog(names []string, read func(io.Reader) error) error {
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

// scanLog calls take with the JSON object of each line, without what stands before
// it, or with nil for a line that has none.
func scanLog(r io.Reader, take func(object []byte)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			take(nil)
			continue
		}
		take(scanner.Bytes()[start:])
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("scan: %w", err)
	}
	return nil
}
