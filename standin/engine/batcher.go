package engine

import (
	"sort"
	"sync"
	"time"
)

// prefillWeight is the cost of a prefill position against a decode position.
const prefillWeight = 0.1

// job is one stage step that waits for its turn on the accelerator.
type job struct {
	weight   float64 // decode positions that it costs
	priority int
	done     chan struct{}
}

// batcher runs waiting jobs in batches, as an accelerator does.
type batcher struct {
	engine  *Engine
	mu      sync.Mutex
	waiting []*job
	wake    chan struct{}
}

func newBatcher(e *Engine) *batcher {
	return &batcher{engine: e, wake: make(chan struct{}, 1)}
}

// depth returns the number of jobs that wait for their turn.
func (b *batcher) depth() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting)
}

// run returns once the accelerator has done the work.
func (b *batcher) run(weight float64, priority int) {
	j := &job{weight: weight, priority: priority, done: make(chan struct{})}
	b.mu.Lock()
	b.waiting = append(b.waiting, j)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	select {
	case <-j.done:
	case <-b.engine.stopped:
	}
}

func (b *batcher) loop() {
	for {
		batch := b.take()
		if len(batch) == 0 {
			select {
			case <-b.wake:
				continue
			case <-b.engine.stopped:
				return
			}
		}
		b.step(batch)
	}
}

// take removes the next batch, highest priority first.
func (b *batcher) take() []*job {
	b.mu.Lock()
	defer b.mu.Unlock()
	sort.SliceStable(b.waiting, func(i, k int) bool {
		return b.waiting[i].priority > b.waiting[k].priority
	})
	n := min(len(b.waiting), b.engine.speed.Slots)
	batch := append([]*job(nil), b.waiting[:n]...)
	b.waiting = append(b.waiting[:0], b.waiting[n:]...)
	return batch
}

func (b *batcher) step(batch []*job) {
	var weight float64
	for _, j := range batch {
		weight += j.weight
	}
	select {
	case <-time.After(b.engine.stepTime(weight)):
	case <-b.engine.stopped:
	}
	for _, j := range batch {
		close(j.done)
	}
}

// stepTime returns how long a batch of the given weight takes.
func (e *Engine) stepTime(weight float64) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	perLayer := float64(e.speed.TokenLayer) * weight
	d := float64(e.speed.Step) + perLayer*float64(e.layers.Len())
	if e.faults.Slowdown > 0 {
		d *= e.faults.Slowdown
	}
	return time.Duration(d)
}
