package spanrilldcmd

import (
	"context"
	"runtime"
	"runtime/debug"
	"runtime/metrics"

	"spanrill"
)

// The collector lets the heap grow in proportion to what is live, which is a few megabytes
// before some upstreams and several times as much before thousands. The daemon allocates
// about as much for a request in both cases, so that what the heap may grow by is a size, and
// not a proportion.
const (
	// heapRoom is what the heap may grow by between two collections.
	heapRoom = 8 * megabyte
	// mostPercent and leastPercent bound the growth in hundredths of what is live: collections
	// that follow one another at once cost more than memory.
	mostPercent  = 300
	leastPercent = 50
	// firstPercent holds until it is known what is live.
	firstPercent = 100
	// percentStep is the least change that is made: each one stops the process for a moment.
	percentStep = 20
	// firstLook is when the process has started, and memoryLook the pause between later looks
	// for memory to give back.
	firstLook  = 3 * spanrill.Second
	memoryLook = 15 * spanrill.Second
)

// Metrics of the runtime.
const (
	// liveHeap is what the last collection has found to be live.
	liveHeap = "/gc/heap/live:bytes"
	// freeHeap is what holds nothing and was not given back to the system.
	freeHeap = "/memory/classes/heap/free:bytes"
)

// readMetric returns a metric of the runtime.
func readMetric(name string) uint64 {
	sample := []metrics.Sample{{Name: name}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64()
}

// givesBack reports whether free memory is given back to the system: a start takes a
// multiple of what the daemon needs later on.
func givesBack(free uint64) bool { return free > heapRoom }

// growthFor returns by how much the heap may grow, in hundredths of what is live.
func growthFor(live uint64) int {
	if live == 0 {
		return mostPercent
	}
	return int(max(leastPercent, min(mostPercent, heapRoom*100/live)))
}

// collector sets how much the heap may grow after each collection, by what that has found to
// be live: a daemon that starts knows little at first and thousands of upstreams seconds later.
type collector struct{ percent int }

// marker is an object that nothing refers to, so that each collection finds it.
type marker struct{ collector *collector }

// watch calls tune after the next collection, and after each that follows.
func (c *collector) watch() {
	runtime.SetFinalizer(&marker{c}, func(m *marker) {
		m.collector.tune()
		m.collector.watch()
	})
}

// tune is called by the finalizers' goroutine alone.
func (c *collector) tune() {
	if want := growthFor(readMetric(liveHeap)); max(want-c.percent, c.percent-want) >= percentStep {
		debug.SetGCPercent(want)
		c.percent = want
	}
}

// tuneCollector sets how much the heap may grow for the life of the process. Until the context
// ends it gives back free memory; it closes the channel that it returns when that has ended.
func tuneCollector(ctx context.Context, clock spanrill.Clock) <-chan struct{} {
	debug.SetGCPercent(firstPercent)
	(&collector{percent: firstPercent}).watch()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for pause := firstLook; ; pause = memoryLook {
			select {
			case <-ctx.Done():
				return
			case <-clock.After(pause):
			}
			if givesBack(readMetric(freeHeap)) {
				debug.FreeOSMemory()
			}
		}
	}()
	return done
}
