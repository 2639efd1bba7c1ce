package granting

import (
	"fmt"
	"testing"

	"spanrill"
)

// simSum is what the callers got that sent first within a span.
type simSum struct {
	offered, inTime, served [3]int
	refusedOnce, atReturn   int // refused once or more, and of these served
	bound                   float64
	sends, refusedSends     int
	busiest                 float64 // most starts of a chain over its fair part
}

func total(n [3]int) int { return n[0] + n[1] + n[2] }

// sum sums up what callers and engines got from one time to another.
func (s *sim) sum(from, to spanrill.Millis) (sum simSum) {
	for _, c := range s.callers {
		if c.sentAt < from || c.sentAt >= to {
			continue
		}
		sum.offered[c.class]++
		if c.inTime() {
			sum.inTime[c.class]++
		}
		if c.eventAt > 0 {
			sum.served[c.class]++
		}
		if c.refusals > 0 {
			sum.refusedOnce++
			if c.eventAt > 0 {
				sum.atReturn++
			}
		}
	}
	s.sumStarts(&sum, from, to)
	sum.bound = min(float64(total(sum.offered)), s.bySecond*(to-from).Duration().Seconds())
	return sum
}

func (s *sim) sumStarts(sum *simSum, from, to spanrill.Millis) {
	started, all := map[uint32]float64{}, 0.0
	for _, start := range s.starts {
		if start.at < from || start.at >= to {
			continue
		}
		sum.sends++
		if start.refused {
			sum.refusedSends++
			continue
		}
		started[start.first]++
		all++
	}
	for _, c := range s.chains {
		sum.busiest = max(sum.busiest, started[c.First()]/(all*simRate(c)/s.bySecond))
	}
}

// fraction returns the part of the requests of a class that was served in time.
func (m *simSum) fraction(class int) float64 {
	return float64(m.inTime[class]) / float64(max(1, m.offered[class]))
}

func (m *simSum) ofBound() float64 { return float64(total(m.inTime)) / m.bound }

func (m *simSum) refusedPart() float64 { return float64(m.refusedSends) / float64(max(1, m.sends)) }

func (m *simSum) String() string {
	offered := float64(total(m.offered))
	return fmt.Sprintf("%.0f offered, in time %.3f of the bound, by class %.3f %.3f %.3f, served late %.3f, not at all %.3f; %.4f of %d sends refused, busiest chain %.2f of its part",
		offered, m.ofBound(), m.fraction(0), m.fraction(1), m.fraction(2), float64(total(m.served)-total(m.inTime))/offered,
		1-float64(total(m.served))/offered, m.refusedPart(), m.sends, m.busiest)
}

// checkOrder checks that a more urgent class does not fare worse, and that each gets half of what all get.
func (m *simSum) checkOrder(t *testing.T) {
	t.Helper()
	all := float64(total(m.inTime)) / float64(total(m.offered))
	for class := range m.offered {
		if class > 0 && m.fraction(class) > m.fraction(class-1) {
			t.Errorf("class %d was served %.3f in time, class %d only %.3f", class, m.fraction(class), class-1, m.fraction(class-1))
		}
		if m.fraction(class) < all/2 {
			t.Errorf("class %d was served %.3f in time, under half of the %.3f of all", class, m.fraction(class), all)
		}
	}
}

// check checks a measured span against the least part of the bound that is served in time.
func (m *simSum) check(t *testing.T, minServed, maxRefused float64) {
	t.Helper()
	t.Log(m)
	if m.ofBound() < minServed {
		t.Errorf("%.3f of the bound served in time, want %.2f", m.ofBound(), minServed)
	}
	if m.refusedPart() >= maxRefused {
		t.Errorf("%.4f of the sends refused by engines, want less than %.2f", m.refusedPart(), maxRefused)
	}
}

const (
	simWarmUp  = 10 * spanrill.Second
	simMeasure = 5 * spanrill.Second
)

// settle plays until those that were refused last have returned.
func (s *sim) settle(load float64) {
	s.play(spanrill.Second, load)
	if s.retries > 0 {
		s.play(maxSimReturn, load)
	}
}

// maxSimReturn is the longest time until a refused caller has returned (after 5 s at most), has waited
// (1.5 s) and was served.
const maxSimReturn = 7 * spanrill.Second

// Requests that are refused return once, and have their objective from the first send. The chains of a
// service serve as many as they can in time, evenly, and the more urgent first.
func TestFleetServesSimulatedLoad(t *testing.T) {
	type loadCase struct {
		daemons int
		load    float64
	}
	cases := []loadCase{{1, 1.3}, {9, 1.3}}
	for _, daemons := range []int{30, 86, 300} {
		for _, load := range []float64{0.7, 1.0, 1.3, 2.0} {
			cases = append(cases, loadCase{daemons, load})
		}
	}
	for _, c := range cases {
		for _, retries := range []int{0, 1} {
			t.Run(fmt.Sprintf("%d daemons load %.1f retries %d", c.daemons, c.load, retries), func(t *testing.T) {
				parallelPlay(t)
				s := newSim(t, 1, c.daemons)
				s.retries = retries
				s.play(simWarmUp, c.load)
				from := s.now
				s.play(simMeasure, c.load)
				to := s.now
				s.settle(c.load)
				sum := s.sum(from, to)
				sum.check(t, 0.9, 0.01)
				if sum.busiest > 1.5 {
					t.Errorf("the busiest chain started %.2f of its part, want at most 1.5", sum.busiest)
				}
				sum.checkOrder(t)
				if s.hung > 0 {
					t.Errorf("%d requests were decided more than 100 ms after their objective", s.hung)
				}
			})
		}
	}
}
