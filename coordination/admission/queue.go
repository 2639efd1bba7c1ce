package admission

import (
	"sync"

	"spanrill"
)

// queue limits the number of requests of a model that run at once. The others wait in a line, as
// requests of one class.
type queue struct {
	clock spanrill.Clock
	limit func() int // returns the number of requests that may run at once

	mu         sync.Mutex
	running    int
	line       *Line
	waiters    map[uint64]*waiter // by id in the line
	throughput throughput
	lastID     uint64
}

// waiter is a waiting request.
type waiter struct {
	id      uint64
	started chan struct{} // closed when the request starts
	dropped chan struct{} // closed when the request cannot start in time any more
}

// wasDropped reports whether the request has been dropped.
func (w *waiter) wasDropped() bool {
	select {
	case <-w.dropped:
		return true
	default:
		return false
	}
}

func newQueue(clock spanrill.Clock, limit func() int) *queue {
	return &queue{clock: clock, limit: limit, line: NewLine(), waiters: map[uint64]*waiter{}}
}

// join starts a request and returns nil, or queues it. It refuses the request if the queue is full
// or the expected wait is longer than maxWait.
func (q *queue) join(account string, weight float64, maxWaiting int, maxWait spanrill.Millis) (*waiter, *spanrill.Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.line.Len() == 0 && q.running < q.limit() {
		q.running++
		return nil, nil
	}
	now := q.clock.Now()
	q.lastID++
	entry := spanrill.LineEntry{ID: q.lastID, Account: account, Weight: weight, LatestStart: now + maxWait}
	q.line.capacity = maxWaiting
	q.line.SetRate(q.throughput.perSecond(now))
	ok, dropped := q.line.Enter(now, entry)
	q.closeDropped(dropped)
	if !ok {
		return nil, q.refusal(entry, maxWaiting, maxWait)
	}
	w := &waiter{id: entry.ID, started: make(chan struct{}), dropped: make(chan struct{})}
	q.waiters[w.id] = w
	return w, nil
}

// minRetryAfter is added to the time by which the expected wait is too long, so that a request
// refused for its expected wait is not repeated too soon.
const minRetryAfter = 100 * spanrill.Millis(1)

// refusal returns why a request could not enter the line.
func (q *queue) refusal(e spanrill.LineEntry, maxWaiting int, maxWait spanrill.Millis) *spanrill.Refusal {
	wait := q.line.Wait(q.clock.Now(), e)
	if n := q.line.Len(); n >= maxWaiting {
		return spanrill.NewRefusal(spanrill.ReasonQueueFull, "%d requests are waiting already", n).
			WithRetryAfter(wait)
	}
	return spanrill.NewRefusal(spanrill.ReasonQueueDeadline, "the request would wait %d ms, at most %d are allowed", wait, maxWait).
		WithRetryAfter(max(0, wait-maxWait) + minRetryAfter)
}

// closeDropped tells requests that they have been dropped. The caller holds the lock.
func (q *queue) closeDropped(dropped []spanrill.LineEntry) {
	for _, e := range dropped {
		close(q.waiters[e.ID].dropped)
		delete(q.waiters, e.ID)
	}
}

// cancel removes a waiting request. It returns false if the request has already started or been
// dropped.
func (q *queue) cancel(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiters, w.id)
	return q.line.Remove(w.id)
}

// finishRequest records that a request has ended, and starts waiting ones.
func (q *queue) finishRequest() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	q.throughput.recordEnd(q.clock.Now())
	q.startWaiting()
}

// recheckLimit starts waiting requests if the limit has increased.
func (q *queue) recheckLimit() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.startWaiting()
}

// startWaiting starts waiting requests up to the limit, and drops those that cannot start in time.
// The caller holds the lock.
func (q *queue) startWaiting() {
	now := q.clock.Now()
	for q.running < q.limit() {
		e, ok := q.line.Next(now, nil)
		if !ok {
			break
		}
		q.line.Start(now, e)
		q.running++
		close(q.waiters[e.ID].started)
		delete(q.waiters, e.ID)
	}
	q.line.SetRate(q.throughput.perSecond(now))
	q.closeDropped(q.line.Drop(now))
}

// depth returns the numbers of running and waiting requests.
func (q *queue) depth() (running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, q.line.Len()
}
