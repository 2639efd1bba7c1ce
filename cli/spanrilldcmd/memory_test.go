package spanrilldcmd

import (
	"runtime"
	"runtime/debug"
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

// A daemon that knew little in its third second could let its heap grow to four times what
// was live until its eighteenth, when it knew 2,922 upstreams.
func TestGrowthFollowsEachCollection(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(firstPercent))
	c := &collector{percent: firstPercent}
	kept := make([]byte, 64*megabyte)
	runtime.GC()
	c.tune()
	if want := growthFor(readMetric(liveHeap)); c.percent != want || want != leastPercent {
		t.Errorf("the heap may grow by %d in 100 of %d bytes", c.percent, readMetric(liveHeap))
	}
	runtime.KeepAlive(kept)
	tuned := make(chan struct{})
	runtime.SetFinalizer(&marker{c}, func(*marker) { close(tuned) })
	runtime.GC()
	<-tuned // so that watch, which waits in the same way, is called
}
