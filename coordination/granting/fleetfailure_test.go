package granting

import (
	"fmt"
	"slices"
	"testing"

	"spanrill"
)

// kill ends a daemon. Its requests end at the engines, and their callers try again.
func (d *simDaemon) kill() {
	d.down = d.sim.now
	callers := []*simCaller{}
	for r := range d.open {
		d.release(r)
		callers = append(callers, r.caller)
	}
	slices.SortFunc(callers, func(a, b *simCaller) int { return int(a.content) - int(b.content) })
	for _, c := range callers {
		d.sim.after(minSpreadRetry, func() { d.sim.enter(c) })
	}
}

// restart starts a killed daemon anew, with nothing known.
func (s *sim) restart(i int) { s.daemons[i] = newSimDaemon(s, i, s.now) }

func (d *simDaemon) freeze() { d.down, d.frozen, d.wasFrozen = d.sim.now, true, true }

// thaw lets a frozen daemon handle what has arrived meanwhile.
func (d *simDaemon) thaw() {
	pending := d.pending
	d.down, d.frozen, d.pending = 0, false, nil
	for _, handle := range pending {
		handle()
	}
}

// room returns the Room of a granting daemon.
func (d *simDaemon) room() *Room { return d.granter.services[testService].room }

const (
	simFailureLoad    = 1.0
	simFailureMeasure = 3 * spanrill.Second
)

// checkFailure checks what callers and engines got in the time after a failure.
func (s *sim) checkFailure(from spanrill.Millis) {
	s.Helper()
	sum, second := s.sum(from, from+simFailureMeasure), s.sum(from, from+spanrill.Second)
	s.Logf("%v; %.4f refused in the first second", &sum, second.refusedPart())
	if sum.ofBound() < 0.8 {
		s.Errorf("%.3f of the bound served in time, want 0.8", sum.ofBound())
	}
	if second.refusedPart() >= 0.05 {
		s.Errorf("%.4f of the sends refused by engines in the first second, want less than 0.05", second.refusedPart())
	}
	if s.hung > 0 {
		s.Errorf("%d requests were decided more than 100 ms after their objective", s.hung)
	}
}

// simFailures are failures that a service outlasts. Each returns when it is over.
var simFailures = []struct {
	name string
	fail func(s *sim)
	over spanrill.Millis // when it ends, 0 if it does not
	end  func(s *sim)
}{
	{"the granting daemon is killed", func(s *sim) { s.daemons[0].kill() }, 0, nil},
	{"the granting daemon is frozen", func(s *sim) { s.daemons[0].freeze() }, 5000, func(s *sim) { s.daemons[0].thaw() }},
	{"another daemon is preferred", func(s *sim) {
		s.daemons = append(s.daemons, newSimDaemon(s, len(s.daemons), s.now))
		order := append(slices.Clone(s.daemons[len(s.daemons)-1:]), s.daemons[:3]...)
		s.order = func(*simDaemon) []*simDaemon { return order }
	}, 1000, func(*sim) {}},
	{"two daemons believe that they grant", func(s *sim) {
		orders := [][]*simDaemon{{s.daemons[0], s.daemons[1]}, {s.daemons[1], s.daemons[0]}}
		s.order = func(d *simDaemon) []*simDaemon { return orders[d.index%2] }
	}, 3000, func(s *sim) { s.order = func(*simDaemon) []*simDaemon { return s.daemons[:2] } }},
	{"sums are lost", func(s *sim) { s.newsLost = true }, 5000, func(s *sim) { s.newsLost = false }},
	{"a chain is replaced", (*sim).replaceChain, 0, nil},
	{"the granting daemon's clock jumps ahead", func(s *sim) { s.daemons[0].jumpBy(2000) }, 0, nil},
	{"the granting daemon's clock jumps back", func(s *sim) { s.daemons[0].jumpBy(-2000) }, 0, nil},
	{"another daemon's clock jumps ahead", func(s *sim) { s.daemons[5].jumpBy(2000) }, 0, nil},
}

// jumpBy makes the clock of a daemon jump.
func (d *simDaemon) jumpBy(step spanrill.Millis) { d.jump, d.jumpedAt = d.jump+step, d.sim.now }

// replaceChain takes away a chain and adds one of the same kind. What ran on the first one fails.
func (s *sim) replaceChain() {
	gone := s.chains[3].First()
	s.before, s.changed = s.chains, s.now
	s.chains = append(slices.Clone(s.chains[:3]), s.chains[4:]...)
	s.chains = append(s.chains, simChain(simReading, 5001, "z0"))
	s.engines.gone[gone] = true
}

func TestFleetOutlastsFailures(t *testing.T) {
	for _, f := range simFailures {
		t.Run(f.name, func(t *testing.T) {
			parallelPlay(t)
			s := newSim(t, 1, 86)
			s.play(simWarmUp, simFailureLoad)
			from := s.now
			f.fail(s)
			s.play(f.over, simFailureLoad)
			if f.end != nil {
				f.end(s)
			}
			over := s.now
			s.play(simFailureMeasure, simFailureLoad)
			s.settle(simFailureLoad)
			s.checkFailure(from)
			if f.end != nil {
				s.checkFailure(over)
			}
		})
	}
}

// Daemons that are cut off start requests within their share.
func TestFleetServesWhileAThirdIsCutOff(t *testing.T) {
	const cutTime = 12 * spanrill.Second
	isCutOff := func(d *simDaemon) bool { return d.index%3 == 2 }
	for _, daemons := range []int{30, 86, 300} {
		for _, gossip := range []bool{false, true} {
			for _, load := range []float64{0.7, 1.0, 1.3} {
				t.Run(fmt.Sprintf("%d daemons load %.1f heard of by others %v", daemons, load, gossip), func(t *testing.T) {
					parallelPlay(t)
					s := newSim(t, 1, daemons)
					s.retries = 0
					s.play(simWarmUp/2, load)
					from := s.now
					s.cutAt, s.gossip = s.now, gossip
					s.isCut = func(a, b *simDaemon) bool {
						return isCutOff(a) != isCutOff(b) && (!gossip || min(a.index, b.index) < 2)
					}
					s.play(cutTime, load)
					to := s.now
					s.settle(load)
					sum := s.sum(from, to)
					sum.check(t, 0.8, 1)
					if s.hung > 0 {
						t.Errorf("%d requests were decided more than 100 ms after their objective", s.hung)
					}
				})
			}
		}
	}
}

// The room of a daemon that is killed is free after three seconds, and what it was given ahead of need
// after 1.25 s.
func TestFleetTakesBackRoomOfDeadDaemons(t *testing.T) {
	s := newSim(t, 1, 9)
	s.play(3*spanrill.Second, 0.5)
	d, room := s.daemons[5], s.daemons[0].room()
	for room.askers[d.name].aheads == 0 {
		s.play(1, 0.5)
	}
	held := len(room.askers[d.name].claims)
	d.kill()
	s.play(aheadReturn+advanceInterval, 0.5)
	if a := room.askers[d.name]; held < 5 || a != nil && a.aheads > 0 {
		t.Errorf("%d requests held room; of grants given ahead %d are left after 1.3 s, want none", held, a.aheads)
	}
	s.play(3*spanrill.Second-aheadReturn-advanceInterval, 0.5)
	if a := room.askers[d.name]; a != nil {
		t.Errorf("the dead daemon has %d claims after 3 s, want none", len(a.claims))
	}
}

// All daemons are killed at once and start again within a second, while their callers return.
func TestFleetRestartsWhileCallersReturn(t *testing.T) {
	for _, load := range []float64{0.7, 1.0, 1.3} {
		t.Run(fmt.Sprintf("load %.1f", load), func(t *testing.T) {
			parallelPlay(t)
			s := newSim(t, 1, 86)
			s.play(simWarmUp, load)
			from := s.now
			for i, d := range s.daemons {
				d.kill()
				s.after(500+spanrill.Millis(s.random.IntN(1000)), func() { s.restart(i) })
			}
			s.play(5*spanrill.Second, load)
			to := s.now
			s.settle(load)
			most := mostReturns(s.returns, from)
			sum, end := s.sum(from, to), s.sum(to-simFailureMeasure, to)
			t.Logf("%v; in the last three seconds %v; at most %d returns in 250 ms", &sum, &end, most)
			if sum.refusedPart() > 0.1 {
				t.Errorf("%.4f of the sends refused by engines, want at most 0.1", sum.refusedPart())
			}
			s.checkEngines(from, to)
			if room := s.bySecond / 4; float64(most) > room {
				t.Errorf("%d callers returned within 250 ms, in which %.0f start", most, room)
			}
		})
	}
}

// mostReturns returns the most returns within 250 ms from a time on.
func mostReturns(times []spanrill.Millis, from spanrill.Millis) (most int) {
	first := 0
	for i, at := range times {
		for times[first] < max(from, at-249) && first < i {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// checkEngines checks that no first engine refuses more than a tenth of what is sent to it.
func (s *sim) checkEngines(from, to spanrill.Millis) {
	s.Helper()
	sent, refused := map[uint32]int{}, map[uint32]int{}
	for _, start := range s.starts {
		if start.at >= from && start.at < to {
			sent[start.first]++
			if start.refused {
				refused[start.first]++
			}
		}
	}
	for _, c := range s.chains {
		if first := c.First(); refused[first]*10 > sent[first] {
			s.Errorf("the chain of engine %d refused %d of %d sends, want at most a tenth", first, refused[first], sent[first])
		}
	}
}
