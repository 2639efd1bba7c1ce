package spanrilldcmd

import (
	"runtime/metrics"
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
	sample := []metrics.Sample{{Name: liveHeap}}
	if metrics.Read(sample); sample[0].Value.Kind() != metrics.KindUint64 {
		t.Errorf("the runtime does not tell %s", liveHeap)
	}
}
