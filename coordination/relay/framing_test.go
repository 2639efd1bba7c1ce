package relay

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

func TestFraming(t *testing.T) {
	for _, c := range []struct {
		name    string
		last    string
		pieces  []string
		want    string
		partial bool
		lastID  string
	}{
		{"one event", "", []string{"id: 1\ndata: a\n\n"}, "id: 1\ndata: a\n\n", false, "1"},
		{"in pieces", "", []string{"id: 1\nda", "ta: a\n", "\nid: 2\n"}, "id: 1\ndata: a\n\n", true, "1"},
		{"carriage returns", "", []string{"id: 1\r\ndata: a\r\n\r\n"}, "id: 1\r\ndata: a\r\n\r\n", false, "1"},
		{"repeated events are left out", "3", []string{"id: 3\ndata: a\n\nid: 4\ndata: b\n\n"}, "id: 4\ndata: b\n\n", false, "4"},
		{"a version line belongs to its event", "1", []string{"versions: 2\nid: 2\ndata: b\n\n"}, "versions: 2\nid: 2\ndata: b\n\n", false, "2"},
		{"ids that are not numbers", "x", []string{"id: y\ndata: b\n\n"}, "id: y\ndata: b\n\n", false, "y"},
		{"no id", "5", []string{"data: b\n\n"}, "data: b\n\n", false, "5"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFramer(c.last)
			var out []byte
			for _, p := range c.pieces {
				out, _ = f.feed(out, []byte(p))
			}
			if string(out) != c.want || f.hasPartial() != c.partial || f.lastID != c.lastID {
				t.Fatalf("got %q, partial %t, last id %q; want %q, %t, %q", out, f.hasPartial(), f.lastID, c.want, c.partial, c.lastID)
			}
		})
	}
}

// Guards against lost, repeated or reordered events when a stream breaks off at any byte and is
// resumed after its last whole event, read in pieces of any size.
func FuzzResumedStream(f *testing.F) {
	f.Add(uint8(10), uint8(3), uint16(25))
	f.Add(uint8(40), uint8(1), uint16(0))
	f.Add(uint8(2), uint8(200), uint16(999))
	f.Fuzz(func(t *testing.T, events, piece uint8, cut uint16) {
		want := eventStream(1, int(events))
		fr := newFramer("")
		var out []byte
		first := []byte(want)
		if int(cut) < len(first) {
			first = first[:cut]
		}
		out = feedPieces(fr, out, first, int(piece))
		fr.dropPartial()
		from := 1
		if fr.lastNumber > 0 {
			from = int(fr.lastNumber) // the resumed stream repeats the last event
		}
		out = feedPieces(fr, out, []byte(eventStream(from, int(events))), int(piece))
		if string(out) != want {
			t.Fatalf("got %q, want %q", out, want)
		}
	})
}

// Guards against a stream that sends bytes without end and makes no new event.
func TestStreamWithoutProgress(t *testing.T) {
	old := eventStream(1, 1)
	for _, c := range []struct {
		name, text string
		want       error
	}{
		{"line without end", "data: x", errEventTooLarge},
		{"lines without an empty one", "data: x\n", errEventTooLarge},
		{"old events", old, errOnlyOldEvents},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFramer("1")
			limit := max(maxEventBytes, maxSkippedBytes)
			fed := 0
			for ; f.checkProgress() == nil && fed <= 2*limit; fed += len(c.text) {
				f.feed(nil, []byte(c.text))
			}
			if err := f.checkProgress(); !errors.Is(err, c.want) || fed < limit || fed > limit+2*len(c.text) {
				t.Fatalf("error %v after %d bytes, want %v after about %d", err, fed, c.want, limit)
			}
			f.dropPartial()
			out, n := f.feed(nil, []byte(eventStream(2, 3)))
			if err := f.checkProgress(); err != nil || n != 2 || string(out) != eventStream(2, 3) {
				t.Fatalf("the stream that continues it: error %v, %d events: %q", err, n, out)
			}
		})
	}
}

// Guards against a stream that keeps the memory of a large event after it has been passed on.
func TestLargeEventLeavesNoMemory(t *testing.T) {
	f := newFramer("")
	out, n := f.feed(nil, fmt.Appendf(nil, "id: 1\ndata: %s\n\nid: 2\n", strings.Repeat("x", maxEventBytes)))
	if n != 1 || cap(f.buf) > freeAnswerBytes || cap(reuse(out)) > freeAnswerBytes || !f.hasPartial() {
		t.Fatalf("%d events, a buffer of %d bytes, partial event %t; want 1 event and a small buffer with the partial one", n, cap(f.buf), f.hasPartial())
	}
	if out, n := f.feed(reuse(out), []byte("data: y\n\n")); n != 1 || string(out) != "id: 2\ndata: y\n\n" {
		t.Fatalf("%d events behind it: %q", n, out)
	}
}

// BenchmarkEventWithoutEnd feeds an event of the maximum size in reads.
func BenchmarkEventWithoutEnd(b *testing.B) {
	read := bytes.Repeat([]byte("data: x\n"), readSize/8)
	for b.Loop() {
		f := newFramer("")
		for range maxEventBytes / readSize {
			f.feed(nil, read)
		}
	}
}

func eventStream(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", n, n)
	}
	return b.String()
}

func feedPieces(f *framer, out, data []byte, size int) []byte {
	for len(data) > 0 {
		n := min(len(data), size+1)
		out, _ = f.feed(out, bytes.Clone(data[:n]))
		data = data[n:]
	}
	return out
}
