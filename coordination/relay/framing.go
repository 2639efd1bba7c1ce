package relay

import (
	"bytes"
	"strconv"
)

// framer splits a series of bytes into whole events (server-sent events of the HTML standard, which
// end with an empty line).
type framer struct {
	buf        []byte
	lastID     string
	lastNumber int64 // lastID as a number, or -1
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

// feed adds bytes, appends the events that are now complete to out, and returns their number. An
// event whose id is not greater than the last one was received before and is left out.
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

// eventEnd returns the length of the first event including its empty line, or -1.
func eventEnd(b []byte) int {
	at := 0
	for at < len(b) {
		nl := bytes.IndexByte(b[at:], '\n')
		if nl < 0 {
			return -1
		}
		line := b[at : at+nl]
		at += nl + 1
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return at
		}
	}
	return -1
}

var idField = []byte("id:")

// recordIfNew reports whether an event was not received before, and records its id.
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
