package exchange

import (
	"fmt"
	"testing"

	"spanrill/protocol/peermsg"
)

// Guards against daemons that take the lost paths of the few peers whose news they get for those of all,
// so that no daemon of a large fleet may hold the placement lease while all have lost a path.
func TestLostPathsOfAllDaemonsAreCounted(t *testing.T) {
	testLostPaths(t, 2, 8, 30, 83, 350)
}

func testLostPaths(t *testing.T, fleets ...int) {
	t.Helper()
	for _, daemons := range fleets {
		for _, lost := range []int{0, 1, daemons / 2, daemons} {
			t.Run(fmt.Sprint(lost, " of ", daemons, " daemons"), func(t *testing.T) {
				n := newNetwork(daemons)
				for i, m := range n.members {
					if i < lost {
						n.daemons[m.Name].lostPaths = []peermsg.LostPath{{Service: "a"}, {Service: fmt.Sprint("b", i%2)}}
					}
				}
				n.runRounds(2)
				n.runRounds(2 * n.daemons[n.members[0].Name].exchange.AggregationRounds())
				for i, m := range n.members {
					want := lost
					if i < lost {
						want--
					}
					e := n.daemons[m.Name].exchange
					counted, covered := e.LostByOthers("")
					ofA, _ := e.LostByOthers("a")
					if counted != want || ofA != want || covered != daemons-1 {
						t.Fatalf("%s counts %d and %d other daemons that have lost a path, among %d, want %d of %d", m.Name, counted, ofA, covered, want, daemons-1)
					}
				}
			})
		}
	}
}
