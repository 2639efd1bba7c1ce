package returns

import (
	"math"
	"math/rand/v2"
	"testing"

	"spanrill"
)

func newPlanner(seed uint64, opts ...Option) *Planner {
	return New(rand.New(rand.NewPCG(seed, 1)).Float64, opts...)
}

// refusedAt returns a refused request of a class whose caller waits for 15 s.
func refusedAt(class spanrill.Class, content uint64) spanrill.RefusedRequest {
	return spanrill.RefusedRequest{Class: class, Content: content, Remaining: 15 * spanrill.Second}
}

// mostWithin returns the largest number of times within a window.
func mostWithin(times []spanrill.Millis, window spanrill.Millis) int {
	most := 0
	for _, from := range times {
		n := 0
		for _, at := range times {
			if at >= from && at < from+window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against callers that return together and are refused again.
func TestReturnsAreSpaced(t *testing.T) {
	for _, endRate := range []float64{5, 40, 300} {
		p := newPlanner(1)
		var times []spanrill.Millis
		for i := range int(endRate) * 2 {
			now := spanrill.Millis(10_000 + i%200)
			times = append(times, now+p.Plan(now, refusedAt(1, uint64(i+1)), endRate, 0))
		}
		window := spanrill.Millis(max(250, 4000/endRate))
		most, room := mostWithin(times, window), endRate*seconds(window)
		t.Logf("%v ends per second: at most %d returns in %d ms, room for %.0f", endRate, most, window, room)
		if float64(most) > room {
			t.Errorf("%d callers return within %d ms, in which %.0f requests end", most, window, room)
		}
	}
}

// Guards against urgent callers that return after patient ones, and later callers before earlier.
func TestUrgentReturnsAreEarlier(t *testing.T) {
	p := newPlanner(2)
	var sums [3]spanrill.Millis
	var first, last spanrill.Millis
	for i := range 600 {
		now := spanrill.Millis(2 * i)
		wait := p.Plan(now, refusedAt(spanrill.Class(2-i%3), uint64(i+1)), 300, 0)
		sums[2-i%3] += wait
		if i < 90 {
			first += wait
		}
		if i >= 510 {
			last += wait
		}
	}
	t.Logf("mean retry times by class: %d, %d and %d ms; first callers %d, last %d ms", sums[0]/200, sums[1]/200, sums[2]/200, first/90, last/90)
	if sums[0] >= sums[1] || sums[1] >= sums[2] {
		t.Error("a more urgent class does not return earlier")
	}
	if first >= last {
		t.Error("callers that were refused later do not return later")
	}
}

func TestRetryTimesAreUsable(t *testing.T) {
	for _, remaining := range []spanrill.Millis{math.MinInt64, -1, 0, 299, 301, 900, 6000, 60_000, math.MaxInt64} {
		for _, endRate := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, 1e-9, 0.5, 50, 1e12} {
			p := newPlanner(3)
			longest := max(minReturn, latestReturn(remaining))
			for i := range 200 {
				r := spanrill.RefusedRequest{Class: spanrill.Class(i), Content: 7, Remaining: remaining, Returned: i%2 == 0}
				wait := p.Plan(1000, r, endRate, i*1000-5000)
				if wait < minReturn || wait > longest {
					t.Fatalf("retry time %d with %d ms left and %v ends per second, want from %d to %d", wait, remaining, endRate, minReturn, longest)
				}
			}
		}
	}
}

// Guards against a crowd at the end of the usable time when there is room for none of the callers.
func TestReturnsWithoutRoomAreSpread(t *testing.T) {
	p := newPlanner(4)
	var times []spanrill.Millis
	for i := range 400 {
		times = append(times, p.Plan(0, refusedAt(0, uint64(i+1)), 10, 0))
	}
	if most := mostWithin(times, 250); most > 100 {
		t.Errorf("%d of 400 callers return within 250 ms of about 1.6 s", most)
	}
	if n := p.Outstanding(0); n > 25 {
		t.Errorf("%d returns are promised, want no more than half of 10 a second in 5 s", n)
	}
}

// Guards against a crowd after all daemons were lost: nobody knows what ends.
func TestReturnsAtAnUnknownRateAreEven(t *testing.T) {
	p := newPlanner(5)
	var times []spanrill.Millis
	for i := range 600 {
		now := spanrill.Millis(i * 250 / 600)
		times = append(times, now+p.Plan(now, refusedAt(0, uint64(i+1)), 0, 0))
	}
	most := mostWithin(times, 250)
	t.Logf("at most %d of 600 callers return within 250 ms", most)
	if most > 600/4 {
		t.Errorf("%d callers return within 250 ms, want at most a quarter of all, as they are told to return within a second", most)
	}
}

func TestRedeem(t *testing.T) {
	p := newPlanner(6)
	at := 1000 + p.Plan(1000, refusedAt(0, 5), 100, 0)
	for _, c := range []struct {
		name    string
		now     spanrill.Millis
		content uint64
		want    bool
	}{
		{"too early", at - earlyReturn - 1, 5, false},
		{"no content", at, 0, false},
		{"other content", at, 6, false},
		{"in time", at + lateReturn, 5, true},
		{"again", at + lateReturn, 5, false},
	} {
		if got := p.Redeem(c.now, c.content); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	late := 5000 + p.Plan(5000, refusedAt(0, 5), 100, 0)
	if p.Redeem(late+lateReturn+1, 5) {
		t.Error("a return was recognized after its time")
	}
}

// Guards against a penalty for callers that were told to return and are refused again.
func TestReturnedCallersGetTheNextSlot(t *testing.T) {
	p := newPlanner(7)
	for i := range 60 {
		p.Plan(0, refusedAt(spanrill.Class(i%2), uint64(i+1)), 100, 100)
	}
	again := refusedAt(1, 1000)
	fresh := newPlannerWait(p, refusedAt(1, 1001))
	again.Returned = true
	if wait := p.Plan(0, again, 100, 100); wait >= fresh {
		t.Errorf("retry time %d of a caller that returned, want less than the %d of a new one", wait, fresh)
	}
	if !p.Redeem(spanrill.Second, 1000) {
		t.Error("the second return is not recognized")
	}
}

// newPlannerWait returns the retry time that a request would get, without planning it.
func newPlannerWait(p *Planner, r spanrill.RefusedRequest) spanrill.Millis {
	copied := *p
	copied.expected = expected{byContent: map[uint64][]expectedReturn{}}
	return copied.Plan(0, r, 100, 100)
}

func TestExpectedReturnsAreBounded(t *testing.T) {
	p := newPlanner(8)
	for i := range 3 * maxExpected {
		p.Plan(0, refusedAt(0, uint64(i+1)), 1e6, 0)
	}
	if p.expected.count > maxExpected {
		t.Errorf("%d returns are remembered, want at most %d", p.expected.count, maxExpected)
	}
	p.Redeem(10*spanrill.Second, 1)
	if p.expected.count != 0 || len(p.expected.byContent) != 0 || p.Outstanding(10*spanrill.Second) != 0 {
		t.Errorf("%d expired returns are remembered", p.expected.count)
	}
}
