package spanrilldcmd

import (
	"runtime"
	"testing"
)

// A daemon before 2,922 upstreams, among 985, held 25 MB of heap for some 6 MB that were
// live: the heap could grow by three times what was live, whatever that was.
func TestHeapGrowsByASize(t *testing.T) {
	for _, c := range []struct {
		live uint64
		want int
	}{
		{0, mostPercent}, {2 * megabyte, mostPercent}, {4 * megabyte, 200}, {8 * megabyte, 100}, {64 * megabyte, leastPercent},
	} {
		if got := growthFor(c.live); got != c.want {
			t.Errorf("with %d bytes live the heap may grow by %d in 100, want %d", c.live, got, c.want)
		}
	}
	runtime.GC()
	for _, name := range []string{liveHeap, freeHeap} {
		if readMetric(name) == 0 {
			t.Errorf("the runtime does not tell %s", name)
		}
	}
	if givesBack(heapRoom) || !givesBack(heapRoom+1) {
		t.Error("as much as the heap may grow by is given back, or more is kept")
	}
}
