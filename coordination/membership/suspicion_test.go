package membership

import (
	"fmt"
	"testing"
)

// Guards against suspicions of undisturbed daemons, whose heartbeats come late only because the fleet is
// large.
func TestUndisturbedDaemonsAreNotSuspected(t *testing.T) {
	const rounds = 30
	for _, daemons := range []int{8, 30, 83, 300} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprint(daemons, " daemons, seed ", seed), func(t *testing.T) {
				t.Parallel()
				f := newSeededFleet(daemons, seed)
				f.runRounds(convergenceRound)
				suspicions := 0
				for range rounds {
					f.runRounds(1)
					for _, l := range f.lists {
						suspicions += len(l.suspects())
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
					wasSuspected[name] = wasSuspected[name] || len(l.suspects()) > 0
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
