//go:build !race

package exchange

import "testing"

// largeFleet is the number of daemons of the largest fleet, which is played without the race detector.
const largeFleet = 985

// Guards against lost paths of a few peers that are taken for those of all in the largest fleet.
func TestLostPathsOfLargeFleetAreCounted(t *testing.T) {
	testLostPaths(t, largeFleet)
}

// Guards against news that reaches a few daemons of the largest fleet only.
func TestNewsReachesAllDaemonsOfLargeFleet(t *testing.T) {
	testNews(t, []newsCase{
		{"largest", largeFleet, nil, 900},
		{"largest, a parent unreachable", largeFleet, []int{3}, 100},
	})
}
