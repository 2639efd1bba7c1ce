package granting

import "testing"

// Time goes on when the clock jumps back, and earlier times keep their ages.
func TestSteadyTime(t *testing.T) {
	var s steadyTime
	expect(t, "first", s.at(5000), 5000)
	expect(t, "as of before the jump", s.earlier(4000), 4000)
	expect(t, "at the jump", s.at(3000), 5000)
	expect(t, "read before the jump", s.earlier(4000), 4000)
	expect(t, "after the jump", s.at(3500), 5500)
	expect(t, "read after the jump", s.earlier(3400), 5400)
	expect(t, "second jump", s.at(3400), 5500)
	expect(t, "jump ahead", s.at(9000), 11_100)
}
