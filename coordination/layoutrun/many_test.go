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

// Guards against one daemon exhausting its descriptors with calls to all engines at once.
// The lease holder of placement sent all orders at once, each over its own connection, and
// queried the pace of all engines at once every 5 s. Of 301 daemons with 2,997 engines it
// opened 1,204 connections per second, had up to 3,895 open and used 0.69 of a core all day;
// the others opened 20 per second and had up to 542 open. Of 4,100 descriptors of a daemon 200
// are files, so its own dials fail, for orders, queries and callers alike. With 14 daemons of
// 2,400 descriptors and 2,730 engines, 1,143 dials failed with "too many open files" in the
// first eight seconds, and with them 573 orders. With 4,100 descriptors none failed.

// wantMaxCalls is how many orders and report requests may be under way: a thirtieth of a
// daemon's usual descriptors.
const wantMaxCalls = 128

// blockingEngines are engines whose calls block until the test releases them.
type blockingEngines struct {
	*fakeEngines
	mu       sync.Mutex
	current  int
	peak     int
	released chan struct{}
}

func (c *blockingEngines) enter() (leave func()) {
	c.mu.Lock()
	c.current++
	c.peak = max(c.peak, c.current)
	c.mu.Unlock()
	<-c.released
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.current--
	}
}

func (c *blockingEngines) Report(ctx context.Context, addr string) (spanrill.EngineReport, error) {
	defer c.enter()()
	return c.fakeEngines.Report(ctx, addr)
}

func (c *blockingEngines) Place(ctx context.Context, addr, id string, o spanrill.PlacementOrder) (spanrill.OrderState, error) {
	defer c.enter()()
	return c.fakeEngines.Place(ctx, addr, id, o)
}

func TestConcurrentCallsAreBounded(t *testing.T) {
	const engines = 600
	c := &blockingEngines{fakeEngines: newFakeEngines(), released: make(chan struct{})}
	p, _ := newStablePlacer(t, engines, c, mayAlwaysAct)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		runRounds(t, p, c.covered)
	}()
	for {
		for range engines {
			runtime.Gosched() // let every call start that may
		}
		select {
		case c.released <- struct{}{}:
		case <-ended:
			if c.peak > wantMaxCalls {
				t.Errorf("%d calls were under way at a time, want at most %d", c.peak, wantMaxCalls)
			}
			return
		}
	}
}

// countingEngines count the report requests to each engine.
type countingEngines struct {
	*fakeEngines
	asked map[string]int
}

func (c *countingEngines) Report(ctx context.Context, addr string) (spanrill.EngineReport, error) {
	c.mu.Lock()
	c.asked[addr]++
	c.mu.Unlock()
	return c.fakeEngines.Report(ctx, addr)
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
			engines := &countingEngines{fakeEngines: newFakeEngines(), asked: map[string]int{}}
			now := clock.NewManual()
			p, _ := newTestPlacer(t, c.engines, spanrill.LayerRange{From: 0, To: 5}, engines, mayAlwaysAct, now)
			for range seconds * int(spanrill.Second) / int(roundInterval) {
				p.queryPaces(context.Background())
				_ = p.tasks.Wait() // errors are logged where they occur
				now.Advance(roundInterval)
			}
			total := 0
			for i := range c.engines {
				n := engines.asked[fmt.Sprint("e", i)]
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
