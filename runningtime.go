package spanrill

// RunningTime tells how much time has passed without the stalls of this process. A stall is a time in
// which the process, or the part of it that reads answers, did not run although it had to. Whoever
// concludes something from not having heard of another process must not count stalls: what has arrived
// meanwhile was not read.
type RunningTime interface {
	// Since returns the time since at, a time of the process's clock, without the stalls in it.
	Since(at Millis) Millis
}

// NeverStalled is the RunningTime of a clock whose process has no stalls.
type NeverStalled struct{ Clock Clock }

// Since returns the time since at.
func (n NeverStalled) Since(at Millis) Millis { return n.Clock.Now() - at }
