package relay

import (
	"bytes"
	"strconv"
)

// framer cuts a series of bytes into whole events (server-sent events of the
// HTML standard: an event ends with an empty line).
type framer struct {
	buf    []byte
	lastID string
	number int64 // of lastID, or -1
}

func newFramer(lastID string) *framer {
	f := &framer{number: -1}
	f.setLast(lastID)
	return f
}

func (f *framer) setLast(id string) {
	f.lastID, f.number = id, -1
	if n, err := strconv.ParseInt(id, 10, 64); err == nil {
		f.number = n
	}
}

// feed adds bytes and appends the events that are whole to out. An event whose
// id does not rise was received before and is left out. It returns how many
// events were appended.
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
		if f.take(event) {
			out = append(out, event...)
			events++
		}
	}
	f.buf = append(f.buf[:0], rest...)
	return out, events
}

// partial reports whether an event was begun and not ended.
func (f *framer) partial() bool { return len(bytes.TrimSpace(f.buf)) > 0 }

// dropPartial forgets an event that was begun and not ended.
func (f *framer) dropPartial() { f.buf = f.buf[:0] }

// eventEnd returns the length of the first event with its empty line, or -1.
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

// take notes the id of an event and reports whether the event is new.
func (f *framer) take(event []byte) bool {
	for line := range bytes.Lines(event) {
		rest, ok := bytes.CutPrefix(line, idField)
		if !ok {
			continue
		}
		id := string(bytes.TrimSpace(rest))
		n, err := strconv.ParseInt(id, 10, 64)
		if err == nil && f.number >= 0 && n <= f.number {
			return false
		}
		f.setLast(id)
	}
	return true
}
