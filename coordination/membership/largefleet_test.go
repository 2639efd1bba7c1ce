//go:build !race

package membership

import "testing"

// largeFleet is the number of daemons of the largest fleet, which is played without the race detector.
const largeFleet = 985

// Guards against suspicions of undisturbed daemons in the largest fleet.
func TestUndisturbedDaemonsOfLargeFleetAreNotSuspected(t *testing.T) {
	testUndisturbed(t, largeFleet)
}

// Guards against messages that grow with the number of daemons that are lost at once in large fleets.
func TestLossInLargeFleetsCostsFewBytes(t *testing.T) {
	testLoss(t, 300)
}

// Guards against the same in the largest fleet, until daemons are suspected.
func TestLossInLargestFleetCostsFewBytes(t *testing.T) {
	t.Parallel()
	f := newSplitFleet(largeFleet)
	most := 0
	for range (overdueRounds + answerRounds + 1) * f.lists["d0"].scaledRound() / f.lists["d0"].round {
		most = max(most, f.mostSent(t))
	}
	if suspects := len(f.lists["d0"].inState(suspected)); suspects <= maxAsked {
		t.Errorf("d0 suspects %d daemons, want many", suspects)
	}
	t.Logf("%d bytes in a round at most", most)
	wantFewBytes(t, most)
}
