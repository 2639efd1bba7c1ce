package admission

import "spanrill"

// rank returns the place of a class in the order: starved classes go first, then the more urgent
// ones. The lowest rank starts next.
func (l *Line) rank(class spanrill.Class) int {
	if l.share.starved(class) {
		return int(class) - spanrill.ClassCount
	}
	return int(class)
}

// goesBefore reports whether a request starts before another one.
func (l *Line) goesBefore(e, other *lineEntry) bool {
	if e.Class != other.Class {
		return l.rank(e.Class) < l.rank(other.Class)
	}
	return e.before(other)
}

// last returns the request that starts last, or nil.
func (l *Line) last() *lineEntry {
	var last *lineEntry
	for class := range l.classes {
		c := &l.classes[class]
		if len(c.waiting) > 0 && (last == nil || l.rank(last.Class) < l.rank(spanrill.Class(class))) {
			last = c.last()
		}
	}
	return last
}
