package spanrilldcmd

import (
	"runtime"
	"runtime/debug"
	"testing"
)

// Guards against heap growth in proportion to the live heap: a daemon with 2,922 upstreams, in a
// fleet of 985 daemons, held a heap of 25 MB for about 6 MB of live objects, because the heap could
// grow by three times the live size.
func TestHeapGrowthIsBoundedInBytes(t *testing.T) {
	for _, c := range []struct {
		liveBytes uint64
		want      int
	}{
		{0, maxGCPercent}, {2 * megabyte, maxGCPercent}, {4 * megabyte, 200}, {8 * megabyte, 100}, {64 * megabyte, minGCPercent},
	} {
		if got := gcPercentFor(c.liveBytes); got != c.want {
			t.Errorf("GC percent for %d live bytes is %d, want %d", c.liveBytes, got, c.want)
		}
	}
	runtime.GC()
	for _, name := range []string{liveHeapMetric, freeHeapMetric} {
		if readMetric(name) == 0 {
			t.Errorf("the runtime does not provide the metric %s", name)
		}
	}
	if shouldReleaseMemory(heapGrowthBytes) || !shouldReleaseMemory(heapGrowthBytes+1) {
		t.Error("shouldReleaseMemory must be false for heapGrowthBytes and true for one byte more")
	}
}

// Guards against tuning only at fixed times, 3 s and 18 s after the start: a daemon that knew few
// upstreams at 3 s could let its heap grow to four times the live size until 18 s, when it knew 2,922.
func TestGCPercentIsTunedAfterEachCollection(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(initialGCPercent))
	tuner := &gcTuner{percent: initialGCPercent}
	ballast := make([]byte, 64*megabyte)
	runtime.GC()
	tuner.tune()
	if want := gcPercentFor(readMetric(liveHeapMetric)); tuner.percent != want || want != minGCPercent {
		t.Errorf("GC percent is %d with %d live bytes, want minGCPercent", tuner.percent, readMetric(liveHeapMetric))
	}
	runtime.KeepAlive(ballast)
	tuned := make(chan struct{})
	runtime.SetFinalizer(&gcSentinel{tuner}, func(*gcSentinel) { close(tuned) })
	runtime.GC()
	<-tuned // finalizers run after a collection, which tuneAfterEachGC relies on
}
