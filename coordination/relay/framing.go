package relay

import (
	"bytes"
	"strconv"
)

// framer splits a byte stream into whole server-sent events (HTML standard), which end with an
// empty line.
type framer struct {
	buf        []byte
	lastID     string // id of the last event, from the caller or in the stream
	lastNumber int64  // lastID as a number, or -1
}

func newFramer(lastID string) *framer {
	f := &framer{lastNumber: -1}
	f.setLastID(lastID)
	return f
}

func (f *framer) setLastID(id string) {
	f.lastID, f.lastNumber = id, -1
	if n, err := strconv.ParseInt(id, 10, 64); err == nil {
		f.lastNumber = n
	}
}

// feed adds data to the buffer, appends the events that are now complete to out, and returns out
// and their number. An event is left out if its id is not greater than the last one, because it was
// received before.
func (f *framer) feed(out, data []byte) ([]byte, int) {
	f.buf = append(f.buf, data...)
	events := 0
	rest := f.buf
	for {
		end := eventEnd(rest)
		if end < 0 {
			break
		}
		event := rest[:end]
		rest = rest[end:]
		if f.recordIfNew(event) {
			out = append(out, event...)
			events++
		}
	}
	f.buf = append(f.buf[:0], rest...)
	return out, events
}

// hasPartial reports whether an incomplete event is buffered.
func (f *framer) hasPartial() bool { return len(bytes.TrimSpace(f.buf)) > 0 }

// dropPartial removes an incomplete event.
func (f *framer) dropPartial() { f.buf = f.buf[:0] }

// eventEnd returns the length of the first event in b including its empty line, or -1 if it is
// incomplete.
func eventEnd(b []byte) int {
	pos := 0
	for pos < len(b) {
		nl := bytes.IndexByte(b[pos:], '\n')
		if nl < 0 {
			return -1
		}
		line := b[pos : pos+nl]
		pos += nl + 1
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return pos
		}
	}
	return -1
}

var idField = []byte("id:")

// recordIfNew records the id of an event and returns true, or returns false if the event was
// received before.
func (f *framer) recordIfNew(event []byte) bool {
	for line := range bytes.Lines(event) {
		rest, ok := bytes.CutPrefix(line, idField)
		if !ok {
			continue
		}
		id := string(bytes.TrimSpace(rest))
		n, err := strconv.ParseInt(id, 10, 64)
		if err == nil && f.lastNumber >= 0 && n <= f.lastNumber {
			return false
		}
		f.setLastID(id)
	}
	return true
}
