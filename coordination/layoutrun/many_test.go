package layoutrun

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"

	"spanrill"
	"spanrill/clock"
)

// Guards against a lease holder that exhausts its descriptors: if it sends all orders at once,
// each over its own connection, or queries the pace of all engines at once every 5 s, its dials
// fail, for orders, queries and callers alike. Without bounds, the lease holder among 301 daemons
// with 2,997 engines opened 1,204 connections per second, had up to 3,895 open (of its 4,100
// descriptors 200 are files) and used 0.69 of a core all day; the other daemons opened 20 per
// second and had up to 542 open. With 14 daemons of 2,400 descriptors and 2,730 engines, 1,143
// dials failed with "too many open files" in the first eight seconds, and with them 573 orders.
// With 4,100 descriptors none failed.

// wantMaxCalls is how many orders and report requests may be in flight at a time: a thirtieth
// of a daemon's usual descriptors.
const wantMaxCalls = 128

// blockingEngines are engines whose calls block until the test releases them.
type blockingEngines struct {
	*fakeEngines
	mu       sync.Mutex
	current  int           // calls in flight
	peak     int           // most calls in flight at a time
	released chan struct{} // each value received releases one call
}

// enter counts a call and blocks until it is released. The returned function ends the call.
func (e *blockingEngines) enter() (leave func()) {
	e.mu.Lock()
	e.current++
	e.peak = max(e.peak, e.current)
	e.mu.Unlock()
	<-e.released
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.current--
	}
}

func (e *blockingEngines) Report(ctx context.Context, addr string) (spanrill.EngineReport, error) {
	defer e.enter()()
	return e.fakeEngines.Report(ctx, addr)
}

func (e *blockingEngines) Place(ctx context.Context, addr, id string, o spanrill.PlacementOrder) (spanrill.OrderState, error) {
	defer e.enter()()
	return e.fakeEngines.Place(ctx, addr, id, o)
}

func TestConcurrentCallsAreBounded(t *testing.T) {
	const engineCount = 600
	engines := &blockingEngines{fakeEngines: newFakeEngines(), released: make(chan struct{})}
	p, _ := newStablePlacer(t, engineCount, engines, mayAlwaysAct)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		runRounds(t, p, engines.covered)
	}()
	for {
		for range engineCount {
			runtime.Gosched() // let all calls start for which there is a slot
		}
		select {
		case engines.released <- struct{}{}:
		case <-ended:
			if engines.peak > wantMaxCalls {
				t.Errorf("%d calls were in flight at a time, want at most %d", engines.peak, wantMaxCalls)
			}
			return
		}
	}
}

// countingEngines are engines that count the report requests to each of them.
type countingEngines struct {
	*fakeEngines
	queries map[string]int // by address
}

func (e *countingEngines) Report(ctx context.Context, addr string) (spanrill.EngineReport, error) {
	e.mu.Lock()
	e.queries[addr]++
	e.mu.Unlock()
	return e.fakeEngines.Report(ctx, addr)
}

// Engines are queried for their pace in turn, each every 5 s if they are few, and at most 100
// per second in total.
func TestPaceQueryRateIsBounded(t *testing.T) {
	const maxPerSecond, seconds = 100, 20
	for _, c := range []struct{ engines, least, most int }{
		{1, 3, 5},
		{39, 3, 5},
		{300, 3, 5},
		{3000, 0, 1},
	} {
		t.Run(fmt.Sprint(c.engines, " engines"), func(t *testing.T) {
			engines := &countingEngines{fakeEngines: newFakeEngines(), queries: map[string]int{}}
			now := clock.NewManual()
			p, _ := newTestPlacer(t, c.engines, spanrill.LayerRange{From: 0, To: 5}, engines, mayAlwaysAct, now)
			for range seconds * int(spanrill.Second) / int(roundInterval) {
				p.queryPaces(context.Background())
				_ = p.tasks.Wait() // errors are logged where they occur
				now.Advance(roundInterval)
			}
			total := 0
			for i := range c.engines {
				n := engines.queries[fmt.Sprint("e", i)]
				if total += n; n < c.least || n > c.most {
					t.Fatalf("engine %d was queried %d times, want %d to %d", i, n, c.least, c.most)
				}
			}
			if total > maxPerSecond*seconds+maxPerSecond {
				t.Errorf("%d queries in %d s, want at most %d per second", total, seconds, maxPerSecond)
			}
		})
	}
}
