package granting

import "spanrill"

// steadyTime follows a clock, but goes on where the clock jumps back: else nothing would lapse, and no rate
// would change, until the clock has caught up. Its zero value is ready to use.
type steadyTime struct {
	begun  bool
	seen   spanrill.Millis // latest time of the clock
	offset spanrill.Millis // of the steady time
	jumped spanrill.Millis // by which the clock last jumped back
}

// at returns the steady time for the time of the clock now.
func (s *steadyTime) at(now spanrill.Millis) spanrill.Millis {
	if s.begun && now < s.seen {
		s.jumped = s.seen - now
		s.offset += s.jumped
	}
	s.begun, s.seen = true, now
	return now + s.offset
}

// earlier returns the steady time for an earlier time of the clock. One that is yet to come by the clock was
// read before its last jump.
func (s *steadyTime) earlier(t spanrill.Millis) spanrill.Millis {
	if t > s.seen {
		return t + s.offset - s.jumped
	}
	return t + s.offset
}
