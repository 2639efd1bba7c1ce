package quarantine

import "spanrill"

// maxWorkingParts bounds the parts of one span.
const maxWorkingParts = 8192

// workingParts records when answers last went on that have a part, for parts in the current and the
// previous span of workedTime.
type workingParts struct {
	current, previous map[Part]spanrill.Millis
	currentStart      spanrill.Millis
}

func newWorkingParts(now spanrill.Millis) *workingParts {
	return &workingParts{current: map[Part]spanrill.Millis{}, previous: map[Part]spanrill.Millis{}, currentStart: now}
}

// record records that an answer with the part began at a time and has gone on.
func (w *workingParts) record(p Part, at, now spanrill.Millis) {
	if now-w.currentStart >= workedTime {
		w.previous, w.current, w.currentStart = w.current, map[Part]spanrill.Millis{}, now
	}
	if known, ok := w.current[p]; ok || len(w.current) < maxWorkingParts {
		w.current[p] = max(known, at)
	}
}

// lastWorked returns when the last answer with the part began that has gone on, if it was lately.
func (w *workingParts) lastWorked(p Part, now spanrill.Millis) (spanrill.Millis, bool) {
	at, ok := w.current[p]
	if !ok {
		at, ok = w.previous[p]
	}
	return at, ok && now-at < workedTime
}
