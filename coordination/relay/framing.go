package relay

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// framer splits a byte stream into whole server-sent events (HTML standard), which end with an
// empty line.
type framer struct {
	buf        []byte // the bytes after the last whole event
	searched   int    // bytes of buf that belong to whole lines or were searched for the end of one
	lineStart  int    // start of the line in buf that has not ended yet
	skipped    int    // bytes of events that were left out since the last one that was not
	lastID     string // id of the last event, from the caller or in the stream
	lastNumber int64  // lastID as a number, or -1
}

const (
	// maxEventBytes is the maximum size of an event. An event holds the text of a few tokens, or one
	// result of a plain service.
	maxEventBytes = 1 << 20
	// maxSkippedBytes is the maximum size of events that were received before in a row. An upstream that
	// continues a stream sends none, or those that were on their way.
	maxSkippedBytes = 1 << 20
)

// Errors of a stream that sends bytes and makes no progress.
var (
	errEventTooLarge = errors.New("event is larger than the limit")
	errOnlyOldEvents = errors.New("the stream repeats events that were received before")
)

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
	events, start := 0, 0
	for end := f.nextEventEnd(); end >= 0; end = f.nextEventEnd() {
		event := f.buf[start:end]
		start = end
		if f.recordIfNew(event) {
			out = append(out, event...)
			events++
			f.skipped = 0
			continue
		}
		f.skipped += len(event)
	}
	if start > 0 {
		f.buf = append(reuse(f.buf), f.buf[start:]...)
		f.searched -= start
		f.lineStart -= start
	}
	return out, events
}

// reuse returns an empty buffer with the memory of buf, unless that is large.
func reuse(buf []byte) []byte {
	if cap(buf) > freeAnswerBytes {
		return nil
	}
	return buf[:0]
}

// checkProgress returns an error if the stream sends bytes without end that make no new event.
func (f *framer) checkProgress() error {
	switch {
	case len(f.buf) > maxEventBytes:
		return errEventTooLarge
	case f.skipped > maxSkippedBytes:
		return errOnlyOldEvents
	}
	return nil
}

// hasPartial reports whether an incomplete event is buffered.
func (f *framer) hasPartial() bool { return len(bytes.TrimSpace(f.buf)) > 0 }

// dropPartial removes an incomplete event.
func (f *framer) dropPartial() {
	f.buf, f.searched, f.lineStart, f.skipped = nil, 0, 0, 0
}

// nextEventEnd returns the end of the next event in the buffer including its empty line, or -1 if it is
// incomplete. It searches each byte once.
func (f *framer) nextEventEnd() int {
	for {
		nl := bytes.IndexByte(f.buf[f.searched:], '\n')
		if nl < 0 {
			f.searched = len(f.buf)
			return -1
		}
		line := f.buf[f.lineStart : f.searched+nl]
		f.searched += nl + 1
		f.lineStart = f.searched
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return f.searched
		}
	}
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
