package membership

import (
	"fmt"
	"sync"
	"testing"

	"spanrill"
	"spanrill/protocol/peermsg"
)

// Guards against suspicions of undisturbed daemons, whose heartbeats come late only because the fleet is
// large.
func TestUndisturbedDaemonsAreNotSuspected(t *testing.T) {
	testUndisturbed(t, 8, 30, 83, 300)
}

func testUndisturbed(t *testing.T, fleets ...int) {
	t.Helper()
	const rounds = 30
	for _, daemons := range fleets {
		for seed := range uint64(2) {
			t.Run(fmt.Sprint(daemons, " daemons, seed ", seed), func(t *testing.T) {
				t.Parallel()
				f := newSeededFleet(daemons, seed)
				f.runRounds(convergenceRound)
				suspicions := 0
				for range rounds {
					f.runRounds(1)
					for _, l := range f.lists {
						suspicions += len(l.inState(suspected))
					}
				}
				if suspicions > 0 {
					t.Errorf("undisturbed daemons were suspected %d times in %d rounds, want never", suspicions, rounds)
				}
			})
		}
	}
}

// Guards against a frozen daemon that is never suspected, because it is asked instead.
func TestSilentDaemonIsSuspected(t *testing.T) {
	for _, daemons := range []int{2, 30, 83} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			f := newSeededFleet(daemons, 1)
			f.runRounds(30)
			wasSuspected := map[string]bool{}
			for range 2 * deadRounds {
				f.runRounds(1, "d0")
				for name, l := range f.lists {
					wasSuspected[name] = wasSuspected[name] || len(l.inState(suspected)) > 0
				}
			}
			for name, l := range f.lists {
				if e := l.entries["d0"]; name != "d0" && (!wasSuspected[name] || e.state != dead) {
					t.Errorf("%s suspected the silent daemon: %v, and considers it dead: %v, want both", name, wasSuspected[name], e.state == dead)
				}
			}
		})
	}
}

// Guards against messages that grow with the number of daemons that are lost at once.
func TestLossOfManyDaemonsCostsFewBytes(t *testing.T) {
	testLoss(t, 30, 83)
}

func testLoss(t *testing.T, fleets ...int) {
	t.Helper()
	const maxRounds = 100
	for _, daemons := range fleets {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			f, rounds, most := newSplitFleet(daemons), 0, 0
			left := (daemons + 1) / 2
			for ; f.liveCount("d0") > left; rounds++ {
				if most = max(most, f.mostSent(t)); rounds == maxRounds {
					t.Fatalf("d0 considers %d daemons live after %d rounds, want %d", f.liveCount("d0"), rounds, left)
				}
			}
			t.Logf("%d bytes in a round at most, all lost daemons considered dead after %d rounds", most, rounds)
			wantFewBytes(t, most)
		})
	}
}

// newSplitFleet returns a fleet whose daemons know each other, after its halves were cut off from each other.
func newSplitFleet(daemons int) *fleet {
	f := newSeededFleet(daemons, 1)
	f.runRounds(convergenceRound)
	isInHalf := func(name string) bool { return (name[len(name)-1]-'0')%2 == 0 }
	f.blocked = func(from, to string) bool { return isInHalf(from) != isInHalf(to) }
	return f
}

// mostSent runs a round and returns the most bytes that a daemon has sent in it.
func (f *fleet) mostSent(t *testing.T) (most int) {
	t.Helper()
	var mu sync.Mutex
	sent := map[string]int{}
	f.onSend = func(from string, g *peermsg.Gossip) {
		data, err := peermsg.Encode(g)
		mu.Lock()
		defer mu.Unlock()
		sent[from] += len(data)
		most = max(most, sent[from])
		if err != nil {
			t.Error(err)
		}
	}
	f.runRounds(1)
	return most
}

// wantFewBytes checks the most bytes that a daemon has sent in a round.
func wantFewBytes(t *testing.T, most int) {
	t.Helper()
	const (
		bytesPerSecond  = 18 << 10 // the limit for all control
		roundsPerSecond = 2        // of gateways
	)
	if most > bytesPerSecond/roundsPerSecond {
		t.Errorf("a daemon sent %d bytes in a round, want at most %d", most, bytesPerSecond/roundsPerSecond)
	}
}

// stalledSpan is the RunningTime of a process with one stall.
type stalledSpan struct {
	clock    spanrill.Clock
	from, to spanrill.Millis
}

func (s stalledSpan) Since(at spanrill.Millis) spanrill.Millis {
	return s.clock.Now() - at - max(0, s.to-max(at, s.from))
}

// Guards against a daemon that was stalled, has not read the messages of the others, and considers them
// dead.
func TestStalledDaemonDoesNotSuspectOthers(t *testing.T) {
	for _, daemons := range []int{6, 30, 83} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			f := newSeededFleet(daemons, 1)
			f.runRounds(30)
			d0, from := f.lists["d0"], f.clock.Now()
			f.blocked = func(_, to string) bool { return to == "d0" }
			f.runRounds(2*deadRounds, "d0")
			d0.running = stalledSpan{clock: f.clock, from: from, to: f.clock.Now()}
			d0.updateStates()
			if live := len(d0.Live()); live != daemons {
				t.Errorf("%d daemons live after a stall, want %d", live, daemons)
			}
			f.runRounds(4 * deadRounds)
			if live := len(d0.Live()); live != 1 {
				t.Errorf("%d daemons live after silence without a stall, want only this one", live)
			}
		})
	}
}
