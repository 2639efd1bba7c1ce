package reach

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"spanrill"
)

const (
	// minHelpedShare is how often daemons without a path must serve first attempts, as a share of how
	// often the others do.
	minHelpedShare = 0.95
	// learnTime is the time after a cut from which on they must.
	learnTime = spanrill.Second
	// callInterval is the mean interval of the requests at a daemon.
	callInterval = 350 * spanrill.Millis(1)
)

// wantHelped checks that daemons without a path serve first attempts nearly as often as the others.
func (f *simFleet) wantHelped(results map[*simDaemon]simResult, cut, others []*simDaemon) {
	f.Helper()
	c, o := sumOf(results, cut), sumOf(results, others)
	f.Logf("cut %d of %d (%.3f), no path %d; others %d of %d (%.3f)", c.served, c.sent, c.share(), c.noPath, o.served, o.sent, o.share())
	if c.sent == 0 || o.sent == 0 || o.share() < minHelpedShare || c.share() < minHelpedShare*o.share() {
		f.Errorf("daemons without a path served %.3f of %d first attempts, the others %.3f of %d, want %.2f as many", c.share(), c.sent, o.share(), o.sent, minHelpedShare)
	}
	if c.noPath > 0 {
		f.Errorf("%d requests were refused for lack of a path while daemons reach the upstreams", c.noPath)
	}
}

// Guards against refusals by daemons without a path that find no helper among those that they ask, in
// fleets of which most daemons are cut off.
func TestDaemonsWithoutPathFindHelpersInAnyFleet(t *testing.T) {
	testFindHelpers(t, 30, 83)
}

func testFindHelpers(t *testing.T, fleets ...int) {
	t.Helper()
	for _, daemons := range fleets {
		for _, share := range []float64{0.3, 0.6, 0.9} {
			t.Run(fmt.Sprint(daemons, " daemons, ", share, " cut"), func(t *testing.T) {
				playFleet(t, daemons, func(f *simFleet) {
					f.send(spanrill.Second, callInterval)
					cut, others := f.picked(share)
					f.cut(simSilent, cut)
					if first := sumOf(f.send(learnTime, callInterval), cut); first.noPath > 0 {
						f.Errorf("%d of %d requests were refused for lack of a path in the first second", first.noPath, first.sent)
					}
					f.wantHelped(f.send(2*spanrill.Second, callInterval), cut, others)
				})
			})
		}
	}
}

// Guards against refusals by daemons without a path, however it is lost and whatever becomes of helpers.
func TestDaemonsWithoutPathFindHelpersInTrouble(t *testing.T) {
	for _, daemons := range []int{30, 83} {
		for _, c := range slices.Concat(cutCases, troubleCases) {
			t.Run(fmt.Sprint(daemons, " daemons, ", c.name), func(t *testing.T) { playCase(t, daemons, c) })
		}
	}
}

// playCase plays a case in a fleet and checks what is served from learnTime on.
func playCase(t *testing.T, daemons int, c fleetCase) {
	playFleet(t, daemons, func(f *simFleet) {
		interval := callInterval
		if daemons > 100 {
			interval *= 4 // what one helper has room for
		}
		f.send(spanrill.Second, interval)
		cut, others := c.play(f)
		f.send(learnTime, interval)
		f.wantHelped(f.send(max(2*spanrill.Second, 3*interval), interval), cut, others)
	})
}

// Guards against requests that wait, and daemons that ask without end, while nobody reaches the upstreams.
func TestFleetWithoutAnyPathRefusesAtOnce(t *testing.T) {
	for _, daemons := range []int{1, 30, 83} {
		for name, cut := range map[string]simCut{"silent": simSilent, "reset": simReset} {
			t.Run(fmt.Sprint(daemons, " daemons, ", name), func(t *testing.T) { testNoPath(t, daemons, cut) })
		}
	}
}

func testNoPath(t *testing.T, daemons int, cut simCut) {
	t.Helper()
	const refusedWithin = simDialTimeout / 2
	playFleet(t, daemons, func(f *simFleet) {
		f.send(spanrill.Second, callInterval)
		f.cut(cut, f.daemons)
		f.send(knownFor+learnTime, callInterval)
		asked, began := f.totalAsked(), f.clock.Now()
		r := sumOf(f.send(spanrill.Second, callInterval), f.daemons)
		each := float64(f.totalAsked()-asked) / float64(daemons)
		mostEach := maxAskTokens + askTokensPerSecond*float64(f.clock.Now()-began)/float64(spanrill.Second)
		f.Logf("%+v, each daemon has asked %.1f times", r, each)
		if r.served > 0 || r.noPath < r.sent || r.slowestRefusal > refusedWithin {
			f.Errorf("results %+v, want all refused with no_path within %d ms", r, refusedWithin)
		}
		if each > mostEach {
			f.Errorf("each daemon has asked others %.1f times, want at most %.1f", each, mostEach)
		}
		f.cut(simWhole, f.daemons)
		f.send(learnTime, callInterval)
		if r := sumOf(f.send(spanrill.Second, callInterval), f.daemons); r.served < r.sent {
			f.Errorf("results %+v a second after the cut, want all served", r)
		}
	})
}

// totalAsked returns how often daemons have been asked for tunnels and helpers.
func (f *simFleet) totalAsked() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range f.daemons {
		n += d.asked
	}
	return n
}

// Guards against helpers that get more than they have room for while others have room, and requests
// that are refused for lack of a path where helpers lack room.
func TestFewHelpersShareTheLoadByRoom(t *testing.T) {
	for name, c := range map[string]struct {
		room int // of half of the helpers; the others have double
		full bool
	}{"enough room": {40, false}, "too little room": {4, true}} {
		t.Run(name, func(t *testing.T) {
			playFleet(t, 83, func(f *simFleet) {
				cut, others := f.picked(0.9)
				f.set(func() {
					f.callTime = 500
					for i, d := range others {
						d.maxOpen = c.room * (1 + i%2)
					}
				})
				f.cut(simReset, cut)
				f.send(learnTime, callInterval)
				r := sumOf(f.send(4*spanrill.Second, callInterval), cut)
				served := [2]int{}
				for i, d := range others {
					served[i%2] += d.served
					f.Logf("%s: room %d, most open %d, served %d", d.zone, d.maxOpen, d.mostOpen, d.served)
				}
				f.Logf("%+v", r)
				if r.noPath > 0 || c.full != (r.full > 0) || !c.full && r.share() < minHelpedShare {
					f.Errorf("results %+v, want none refused for lack of a path, and for lack of room only if there is too little", r)
				}
				if served[0] >= served[1] {
					f.Errorf("helpers with less room served %d, those with double %d, want more", served[0], served[1])
				}
			})
		})
	}
}

// Guards against knowledge of helpers that takes longer or more bytes the larger the fleet is.
func TestHelpersAreLearnedInBoundedTimeAndBytes(t *testing.T) {
	testLearning(t, 30, 83)
}

func testLearning(t *testing.T, fleets ...int) {
	t.Helper()
	const (
		bytesEach = 18 << 10 // a second, the limit for all control
		duration  = 3 * spanrill.Second
	)
	for _, daemons := range fleets {
		for _, share := range []float64{0.6, 0.9, 0.999} {
			t.Run(fmt.Sprint(daemons, " daemons, ", share, " cut"), func(t *testing.T) {
				playFleet(t, daemons, func(f *simFleet) {
					f.send(spanrill.Second, callInterval)
					cut, _ := f.picked(min(share, 1-1/float64(daemons)))
					f.cut(simSilent, cut)
					bytes, asked := f.totalBytes(), f.totalAsked()
					f.group.Start(f.ctx, "callers", func(context.Context) error { f.send(duration, 4*callInterval); return nil })
					longest, paths := f.longestWithoutHelper(cut, duration)
					each := float64(f.totalBytes()-bytes) / 3 / float64(daemons)
					f.Logf("%d lost paths, without a helper for %d ms at most, %.0f bytes a second and %.1f asks for each daemon", paths, longest, each, float64(f.totalAsked()-asked)/float64(daemons))
					if paths < len(cut) || longest > learnTime || each > bytesEach {
						f.Errorf("%d lost paths, without a helper for %d ms at most with %.0f bytes a second, want %d ms and %d bytes", paths, longest, each, learnTime, bytesEach)
					}
				})
			})
		}
	}
}

// longestWithoutHelper returns, of the time that passes, how long a daemon has known no helper for a
// service at most since it noticed that its path was lost, and how many paths were noticed to be lost.
func (f *simFleet) longestWithoutHelper(cut []*simDaemon, duration spanrill.Millis) (longest spanrill.Millis, lostPaths int) {
	const step = 10 * spanrill.Millis(1)
	without := map[string]spanrill.Millis{} // by daemon and service
	for end := f.clock.Now() + duration; f.clock.Now() < end; {
		f.pass(step)
		for _, d := range cut {
			for _, s := range d.dialer.LostServices() {
				path := d.name + " " + s.Service
				if d.dialer.known.countReaching(s.Service) > 0 {
					without[path] = 0
					continue
				}
				without[path] += step
				longest = max(longest, without[path])
			}
		}
	}
	return longest, len(without)
}

// totalBytes returns the bytes of messages about helpers.
func (f *simFleet) totalBytes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bytes
}
