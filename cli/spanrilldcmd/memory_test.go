package spanrilldcmd

import (
	"runtime"
	"runtime/debug"
	"testing"
)

// Guards against heap growth in proportion to the live heap: a daemon with 2,922 upstreams, one of
// 985 daemons, held 25 MB of heap for some 6 MB live, because the heap could grow by three times
// the live size.
func TestHeapGrowthIsBoundedInBytes(t *testing.T) {
	for _, c := range []struct {
		live uint64
		want int
	}{
		{0, maxGCPercent}, {2 * megabyte, maxGCPercent}, {4 * megabyte, 200}, {8 * megabyte, 100}, {64 * megabyte, minGCPercent},
	} {
		if got := gcPercentFor(c.live); got != c.want {
			t.Errorf("GC percent for %d live bytes is %d, want %d", c.live, got, c.want)
		}
	}
	runtime.GC()
	for _, name := range []string{liveHeapMetric, freeHeapMetric} {
		if readMetric(name) == 0 {
			t.Errorf("the runtime does not provide the metric %s", name)
		}
	}
	if shouldReleaseMemory(heapGrowthBytes) || !shouldReleaseMemory(heapGrowthBytes+1) {
		t.Error("memory is not released exactly if more than heapGrowthBytes is free")
	}
}

// Guards against tuning at fixed times only: a daemon that knew few upstreams in its third second
// could let its heap grow to four times the live size until its eighteenth, when it knew 2,922.
func TestGCPercentIsTunedAfterEachCollection(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(initialGCPercent))
	c := &gcTuner{percent: initialGCPercent}
	kept := make([]byte, 64*megabyte)
	runtime.GC()
	c.tune()
	if want := gcPercentFor(readMetric(liveHeapMetric)); c.percent != want || want != minGCPercent {
		t.Errorf("GC percent is %d with %d live bytes", c.percent, readMetric(liveHeapMetric))
	}
	runtime.KeepAlive(kept)
	tuned := make(chan struct{})
	runtime.SetFinalizer(&gcSentinel{c}, func(*gcSentinel) { close(tuned) })
	runtime.GC()
	<-tuned // finalizers run after a collection, which tuneAfterEachGC relies on
}
