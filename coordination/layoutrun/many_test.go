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

// What was seen: of 301 daemons before 2,997 engines one made 1,204 new connections a second,
// had 3,895 at a time and used 0.69 of a core, all day; the others made 20 and had 542. It
// holds the lease of placement.
//
// Order of events: it orders all engines at once, over a connection each, and asks all of them
// at once for their pace every 5 s. A daemon may have 4,100 descriptors, of which 200 are
// files: its own dials fail, for orders, questions and callers alike.
//
// Cause: nothing bounds what one daemon has open to all engines together. Evidence: 14 daemons
// with 2,400 descriptors before 2,730 engines: in the eight seconds of the start 1,143 dials
// fail with "too many open files", 573 orders for it. With 4,100 descriptors none does.

// mostCalls is how many orders and questions may be under way: a thirtieth of the descriptors
// of a daemon of today.
const mostCalls = 128

// slowCards are engines that answer when the test lets them.
type slowCards struct {
	*cards
	mu       sync.Mutex
	now      int
	most     int
	released chan struct{}
}

func (c *slowCards) enter() (leave func()) {
	c.mu.Lock()
	c.now++
	c.most = max(c.most, c.now)
	c.mu.Unlock()
	<-c.released
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.now--
	}
}

func (c *slowCards) Report(ctx context.Context, addr string) (spanrill.EngineReport, error) {
	defer c.enter()()
	return c.cards.Report(ctx, addr)
}

func (c *slowCards) Place(ctx context.Context, addr, id string, o spanrill.PlaceOrder) (spanrill.OrderState, error) {
	defer c.enter()()
	return c.cards.Place(ctx, addr, id, o)
}

func TestOrdersToManyEngines(t *testing.T) {
	const engines = 600
	c := &slowCards{cards: newCards(), released: make(chan struct{})}
	p, _ := place(t, engines, c, always)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		rounds(t, p, c.covered)
	}()
	for {
		for range engines {
			runtime.Gosched() // whoever may call does
		}
		select {
		case c.released <- struct{}{}:
		case <-ended:
			if c.most > mostCalls {
				t.Errorf("%d calls were under way at a time, at most %d may be", c.most, mostCalls)
			}
			return
		}
	}
}

// countingCards are engines that count how often each was asked.
type countingCards struct {
	*cards
	asked map[string]int
}

func (c *countingCards) Report(ctx context.Context, addr string) (spanrill.EngineReport, error) {
	c.mu.Lock()
	c.asked[addr]++
	c.mu.Unlock()
	return c.cards.Report(ctx, addr)
}

// Engines are asked for their pace in turn, each every 5 s if they are few, and never more than
// a hundred a second.
func TestPacesOfManyEngines(t *testing.T) {
	const mostASecond, seconds = 100, 20
	for _, c := range []struct{ engines, least, most int }{
		{1, 3, 5},
		{39, 3, 5},
		{300, 3, 5},
		{3000, 0, 1},
	} {
		t.Run(fmt.Sprint(c.engines, " engines"), func(t *testing.T) {
			cards := &countingCards{cards: newCards(), asked: map[string]int{}}
			now := clock.NewManual()
			p, _ := placerOf(t, c.engines, spanrill.LayerRange{From: 0, To: 5}, cards, always, now)
			for range seconds * int(spanrill.Second) / int(round) {
				p.askPaces(context.Background())
				_ = p.orders.Wait() // their errors are logged where they happen
				now.Advance(round)
			}
			sum := 0
			for i := range c.engines {
				n := cards.asked[fmt.Sprint("e", i)]
				if sum += n; n < c.least || n > c.most {
					t.Fatalf("engine %d was asked %d times, want %d to %d", i, n, c.least, c.most)
				}
			}
			if sum > mostASecond*seconds+mostASecond {
				t.Errorf("%d questions in %d s, at most %d a second are wanted", sum, seconds, mostASecond)
			}
		})
	}
}
