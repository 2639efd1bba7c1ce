package follow

import (
	"context"
	"testing"

	"spanrill"
	"spanrill/clock"
	"spanrill/rng"
)

// runOutage simulates two followers of one store that fails for a while. It returns the number of
// failed calls, and how much later than the first follower the second one gets an answer again.
func runOutage(seed uint64, usePrimary bool) (calls int, delay spanrill.Millis) {
	const (
		step            spanrill.Millis = 10
		outageStart                     = spanrill.Second
		outageEnd                       = 9 * spanrill.Second
		maxRetryDelay   spanrill.Millis = 1600
		minStepInterval spanrill.Millis = 50
	)
	c, random := clock.NewManual(), rng.New(seed)
	first, second := &source{clock: c, revision: 5}, &source{clock: c, revision: 5}
	build := func(src *source, opts ...Option) *Follower {
		return New(src, c, &sink{}, append(opts, WithLogger(discardLogger(), "test"), WithJitter(random.Float64),
			WithMaxRetryDelay(func() spanrill.Millis { return maxRetryDelay }), WithPollDelay(func() spanrill.Millis { return 0 }))...)
	}
	primary := build(first)
	opts := []Option{}
	if usePrimary {
		opts = append(opts, WithPrimary(primary))
	}
	followers := []*Follower{primary, build(second, opts...)}
	nextStep, recoveredAt := [2]spanrill.Millis{}, [2]spanrill.Millis{}
	for now := c.Now(); now < outageEnd+3*maxRetryDelay; now = c.Now() {
		for i, src := range []*source{first, second} {
			src.err = nil
			if now >= outageStart && now < outageEnd {
				src.err = spanrill.ErrUnavailable
			}
			if now < nextStep[i] {
				continue
			}
			callsBefore := len(src.calls)
			nextStep[i] = now + max(minStepInterval, followers[i].Step(context.Background()))
			if called := len(src.calls) > callsBefore; called && src.err != nil {
				calls++
			} else if called && now >= outageEnd && recoveredAt[i] == 0 {
				recoveredAt[i] = now
			}
		}
		c.Advance(step)
	}
	return calls, recoveredAt[1] - recoveredAt[0]
}

// In an outage of 8 s two followers make 19 to 22 calls if both call the store, and 10 to 13 if one
// is the other's primary. The other then gets its answer at most 40 ms after the primary.
func TestPrimaryReducesCallsInOutage(t *testing.T) {
	for seed := range uint64(20) {
		without, _ := runOutage(seed, false)
		with, delay := runOutage(seed, true)
		if with > without*2/3 || delay > primaryCheckInterval+30 {
			t.Fatalf("seed %d: %d calls with a primary and a delay of %d ms, %d calls without; want at most two thirds as many and 50 ms", seed, with, delay, without)
		}
		t.Logf("%d calls without a primary, %d with one, delay of %d ms", without, with, delay)
	}
}
