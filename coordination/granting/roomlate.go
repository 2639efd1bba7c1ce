package granting

import "spanrill"

// returnWait is how long a caller that has returned may wait for room: callers of streams leave after
// two seconds of silence, and its first event takes some hundred milliseconds from the start.
const returnWait spanrill.Millis = 1500

// lateLine lets callers that have returned start when no other request waits. They are late already,
// counted from their first send: if they went first, as many newcomers would become late in turn. It
// has a line of its own for them, so that they count neither in the expected waits nor in the
// fractions of the classes.
type lateLine struct {
	spanrill.StartLine
	late spanrill.StartLine
}

// of returns the line of a request.
func (l *lateLine) of(e spanrill.LineEntry) spanrill.StartLine {
	if e.Returned {
		return l.late
	}
	return l.StartLine
}

// Enter implements spanrill.StartLine.
func (l *lateLine) Enter(now spanrill.Millis, e spanrill.LineEntry) (ok bool, dropped []spanrill.LineEntry) {
	return l.of(e).Enter(now, e)
}

// Next implements spanrill.StartLine.
func (l *lateLine) Next(now spanrill.Millis, skip map[uint64]bool) (spanrill.LineEntry, bool) {
	if e, ok := l.StartLine.Next(now, skip); ok {
		return e, true
	}
	return l.late.Next(now, skip)
}

// Start implements spanrill.StartLine.
func (l *lateLine) Start(now spanrill.Millis, e spanrill.LineEntry) { l.of(e).Start(now, e) }

// Remove implements spanrill.StartLine.
func (l *lateLine) Remove(id uint64) bool { return l.StartLine.Remove(id) || l.late.Remove(id) }

// Drop implements spanrill.StartLine.
func (l *lateLine) Drop(now spanrill.Millis) []spanrill.LineEntry {
	return append(l.StartLine.Drop(now), l.late.Drop(now)...)
}

// RecordRefused implements spanrill.StartLine.
func (l *lateLine) RecordRefused(now spanrill.Millis, e spanrill.LineEntry) {
	l.of(e).RecordRefused(now, e)
}

// isStarved reports whether a request goes before those of more urgent classes.
func (l *lateLine) isStarved(e spanrill.LineEntry) bool {
	return !e.Returned && l.Starved(e.Class)
}

// Wait implements spanrill.StartLine. A caller that has returned may wait until its latest start,
// since it is not known what room others leave.
func (l *lateLine) Wait(now spanrill.Millis, e spanrill.LineEntry) spanrill.Millis {
	left := max(0, e.LatestStart-now)
	if e.Returned {
		return left
	}
	return min(left, l.StartLine.Wait(now, e))
}

// Len implements spanrill.StartLine.
func (l *lateLine) Len() int { return l.StartLine.Len() + l.late.Len() }

// LenOf implements spanrill.StartLine.
func (l *lateLine) LenOf(class spanrill.Class) int {
	return l.StartLine.LenOf(class) + l.late.LenOf(class)
}
