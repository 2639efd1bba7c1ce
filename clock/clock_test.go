package clock

import (
	"testing"
	"time"

	"spanrill"
)

// The clock starts at zero and counts the time for which the machine was suspended.
func TestSuspendedTimeCounts(t *testing.T) {
	boot := time.Hour
	c := NewSystem(WithBootTime(func() time.Duration { return boot }))
	before := c.Now()
	boot += 5 * time.Second
	if now := c.Now(); before != 0 || now != 5*spanrill.Second {
		t.Fatalf("Now returned %d ms at the start, want 0, and %d ms after 5 s of suspend, want 5000", before, now)
	}
}

// Reading CLOCK_MONOTONIC takes 0.03 us, and CLOCK_BOOTTIME 0.25 us.
func BenchmarkNow(b *testing.B) {
	c := NewSystem()
	for b.Loop() {
		c.Now()
	}
}
