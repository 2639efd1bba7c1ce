package suspect

import "spanrill"

// servedSpan is the shortest time for which a content counts as served recently.
const servedSpan = 10 * spanrill.Second

// recentlyServed is the set of contents that were answered in the current and the previous span of
// servedSpan. At the 55 requests a second of a daemon in the largest planned fleet it holds 1,100.
type recentlyServed struct {
	current, previous map[Content]bool
	currentStart      spanrill.Millis // when the current span began
}

func newRecentlyServed(now spanrill.Millis) *recentlyServed {
	return &recentlyServed{current: map[Content]bool{}, previous: map[Content]bool{}, currentStart: now}
}

// rotate starts a new span if the current one is over.
func (s *recentlyServed) rotate(now spanrill.Millis) {
	if age := now - s.currentStart; age >= 2*servedSpan {
		s.current, s.previous, s.currentStart = map[Content]bool{}, map[Content]bool{}, now
	} else if age >= servedSpan {
		s.current, s.previous, s.currentStart = map[Content]bool{}, s.current, now
	}
}

func (s *recentlyServed) add(c Content, now spanrill.Millis) {
	s.rotate(now)
	s.current[c] = true
}

func (s *recentlyServed) contains(c Content, now spanrill.Millis) bool {
	s.rotate(now)
	return s.current[c] || s.previous[c]
}
