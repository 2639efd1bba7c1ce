package engine

import (
	"sort"
	"sync"
	"time"
)

// prefillCost is the cost of a prefill position, in decode positions.
const prefillCost = 0.1

// job is a step of a stage that waits for the accelerator.
type job struct {
	weight   float64 // cost in decode positions
	priority int
	done     chan struct{} // closed when the job's batch has run
}

// batcher runs waiting jobs in batches and simulates the time that an accelerator takes for them.
type batcher struct {
	engine  *Engine
	mu      sync.Mutex
	waiting []*job
	wake    chan struct{}
}

func newBatcher(e *Engine) *batcher {
	return &batcher{engine: e, wake: make(chan struct{}, 1)}
}

// waitingJobs returns the number of jobs that wait for a batch.
func (b *batcher) waitingJobs() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting)
}

// execute queues a job and returns once its batch has run or the engine has stopped.
func (b *batcher) execute(weight float64, priority int) {
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
		batch := b.nextBatch()
		if len(batch) == 0 {
			select {
			case <-b.wake:
				continue
			case <-b.engine.stopped:
				return
			}
		}
		b.runBatch(batch)
	}
}

// nextBatch removes the next batch from the queue: at most one job for each slot, highest priority
// first.
func (b *batcher) nextBatch() []*job {
	b.mu.Lock()
	defer b.mu.Unlock()
	sort.SliceStable(b.waiting, func(i, k int) bool {
		return b.waiting[i].priority > b.waiting[k].priority
	})
	n := min(len(b.waiting), b.engine.accelerator.Slots)
	batch := append([]*job(nil), b.waiting[:n]...)
	b.waiting = append(b.waiting[:0], b.waiting[n:]...)
	return batch
}

// runBatch waits as long as a batch takes, and completes its jobs.
func (b *batcher) runBatch(batch []*job) {
	var weight float64
	for _, j := range batch {
		weight += j.weight
	}
	select {
	case <-time.After(b.engine.batchTime(weight)):
	case <-b.engine.stopped:
	}
	for _, j := range batch {
		close(j.done)
	}
}

// batchTime returns how long a batch takes. weight is the total cost of its jobs, in decode positions.
func (e *Engine) batchTime(weight float64) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	perLayer := float64(e.accelerator.PositionLayerTime) * weight
	d := float64(e.accelerator.BaseTime) + perLayer*float64(e.layers.Len())
	if e.faults.Slowdown > 0 {
		d *= e.faults.Slowdown
	}
	return time.Duration(d)
}
