package spanrilldcmd

import (
	"context"
	"runtime"
	"runtime/debug"
	"runtime/metrics"

	"spanrill"
)

// By default the garbage collector lets the heap grow in proportion to the live heap, which is a
// few megabytes with some upstreams and several times as much with thousands. A request allocates
// about the same amount in both cases, so the growth is bounded by a size instead of a proportion.
const (
	// heapGrowthBytes is the amount by which the heap may grow between two collections.
	heapGrowthBytes = 8 * megabyte
	// maxGCPercent and minGCPercent bound the GC percent: collections in quick succession cost
	// more than the memory that they save.
	maxGCPercent = 300
	minGCPercent = 50
	// initialGCPercent applies until the first collection has measured the live heap.
	initialGCPercent = 100
	// minGCPercentChange is the smallest change of the GC percent that is applied, because each
	// change stops the world.
	minGCPercentChange = 20
	// firstReleaseDelay is the time from the start of the process to the first check for memory to
	// release, long enough for startup to be over. releaseInterval is the time between later checks.
	firstReleaseDelay = 3 * spanrill.Second
	releaseInterval   = 15 * spanrill.Second
)

// Metrics of the Go runtime.
const (
	// liveHeapMetric is the size of the live heap as of the last collection.
	liveHeapMetric = "/gc/heap/live:bytes"
	// freeHeapMetric is the size of free heap memory that was not returned to the system.
	freeHeapMetric = "/memory/classes/heap/free:bytes"
)

// readMetric returns the value of a runtime metric, or 0 if the runtime does not provide it.
func readMetric(name string) uint64 {
	sample := []metrics.Sample{{Name: name}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64()
}

// shouldReleaseMemory reports whether free heap memory should be returned to the system. Startup
// takes a multiple of the memory that the daemon needs later.
func shouldReleaseMemory(freeBytes uint64) bool { return freeBytes > heapGrowthBytes }

// gcPercentFor returns the GC percent with which a live heap of the given size grows by about
// heapGrowthBytes between two collections.
func gcPercentFor(liveBytes uint64) int {
	if liveBytes == 0 {
		return maxGCPercent
	}
	return int(max(minGCPercent, min(maxGCPercent, heapGrowthBytes*100/liveBytes)))
}

// gcTuner adapts the GC percent to the live heap after each collection. Setting the percent once at
// startup is not enough: the live heap is small then, and seconds later it can hold thousands of
// upstreams.
type gcTuner struct{ percent int }

// gcSentinel is an unreachable object whose finalizer runs after the next collection.
type gcSentinel struct{ tuner *gcTuner }

// tuneAfterEachGC calls tune after every collection from the next one on.
func (t *gcTuner) tuneAfterEachGC() {
	runtime.SetFinalizer(&gcSentinel{t}, func(s *gcSentinel) {
		s.tuner.tune()
		s.tuner.tuneAfterEachGC()
	})
}

// tune sets the GC percent for the current live heap. Only the finalizer goroutine calls it.
func (t *gcTuner) tune() {
	if percent := gcPercentFor(readMetric(liveHeapMetric)); max(percent-t.percent, t.percent-percent) >= minGCPercentChange {
		debug.SetGCPercent(percent)
		t.percent = percent
	}
}

// startMemoryTuning tunes the GC percent for the rest of the life of the process, and returns free
// memory to the system at intervals until ctx ends. The returned channel is closed once no more
// memory will be returned.
func startMemoryTuning(ctx context.Context, clock spanrill.Clock) <-chan struct{} {
	debug.SetGCPercent(initialGCPercent)
	(&gcTuner{percent: initialGCPercent}).tuneAfterEachGC()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for delay := firstReleaseDelay; ; delay = releaseInterval {
			select {
			case <-ctx.Done():
				return
			case <-clock.After(delay):
			}
			if shouldReleaseMemory(readMetric(freeHeapMetric)) {
				debug.FreeOSMemory()
			}
		}
	}()
	return done
}
