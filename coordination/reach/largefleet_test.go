//go:build !race

package reach

import "testing"

// largeFleet is the number of daemons of the largest fleet, which is played without the race detector.
const largeFleet = 985

// Guards against refusals by daemons without a path in a fleet too large to ask all others.
func TestDaemonsWithoutPathFindHelpersInLargeFleet(t *testing.T) {
	testFindHelpers(t, largeFleet)
	for _, c := range cutCases[:3] {
		t.Run(c.name, func(t *testing.T) { playCase(t, largeFleet, c) })
	}
}

// Guards against requests that wait, and daemons that ask without end, in a large fleet without any path.
func TestLargeFleetWithoutAnyPathRefusesAtOnce(t *testing.T) {
	testNoPath(t, largeFleet, simSilent)
}

// Guards against knowledge of helpers that takes longer or more bytes in a large fleet.
func TestHelpersAreLearnedInLargeFleet(t *testing.T) {
	testLearning(t, largeFleet)
}
