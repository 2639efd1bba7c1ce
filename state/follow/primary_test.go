package follow

import (
	"context"
	"testing"

	"spanrill"
	"spanrill/clock"
	"spanrill/rng"
)

// outage plays two followers of one store that is away for a while, and returns the calls
// that they make meanwhile, and how much later than the first one the second knows its
// collection again.
func outage(seed uint64, behind bool) (calls int, later spanrill.Millis) {
	const (
		step   spanrill.Millis = 10
		begins                 = spanrill.Second
		ends                   = 9 * spanrill.Second
		pause  spanrill.Millis = 1600
		due    spanrill.Millis = 50
	)
	c, random := clock.NewManual(), rng.New(seed)
	first, second := &source{clock: c, at: 5}, &source{clock: c, at: 5}
	build := func(src *source, opts ...Option) *Follower {
		return New(src, c, &sink{}, append(opts, WithLogger(quiet(), "test"), WithJitter(random.Float64),
			WithLongestPause(func() spanrill.Millis { return pause }), WithDue(func() spanrill.Millis { return 0 }))...)
	}
	ahead := build(first)
	opts := []Option{}
	if behind {
		opts = append(opts, WithBehind(ahead))
	}
	followers := []*Follower{ahead, build(second, opts...)}
	next, back := [2]spanrill.Millis{}, [2]spanrill.Millis{}
	for now := c.Now(); now < ends+3*pause; now = c.Now() {
		for i, src := range []*source{first, second} {
			src.err = nil
			if now >= begins && now < ends {
				src.err = spanrill.ErrUnavailable
			}
			if now < next[i] {
				continue
			}
			before := len(src.calls)
			next[i] = now + max(due, followers[i].Step(context.Background()))
			if made := len(src.calls) > before; made && src.err != nil {
				calls++
			} else if made && now >= ends && back[i] == 0 {
				back[i] = now
			}
		}
		c.Advance(step)
	}
	return calls, back[1] - back[0]
}

// In an outage of 8 s two followers of a daemon make 19 to 22 calls when both ask for the
// store, and 10 to 13 when one does; the second then knows its collection 40 ms after the
// first one at most.
func TestOneFollowerFindsTheStore(t *testing.T) {
	for seed := range uint64(20) {
		both, _ := outage(seed, false)
		one, later := outage(seed, true)
		if one > both*2/3 || later > behindPoll+30 {
			t.Fatalf("seed %d: %d calls and %d ms later, %d calls when both ask", seed, one, later, both)
		}
		t.Logf("%d calls when both ask, %d when one does, %d ms later", both, one, later)
	}
}
