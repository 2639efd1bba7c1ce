package admission

import (
	"container/heap"
	"sync"

	"spanrill"
)

// queue limits the number of requests of a model that run at once. The others wait in the order of
// weighted fair queueing: each request advances the virtual time of its account by the inverse of
// its weight, so that an account that sends many requests delays its own and not those of others.
type queue struct {
	clock spanrill.Clock
	limit func() int // returns the number of requests that may run at once

	mu          sync.Mutex
	running     int
	waiting     waiters
	virtualTime float64            // largest virtual finish time of a started request
	finish      map[string]float64 // virtual finish time of each account's last request
	throughput  rate               // rate of ended requests
	seq         uint64
}

// waiter is a waiting request.
type waiter struct {
	finish  float64       // virtual finish time
	seq     uint64        // order of arrival
	started chan struct{} // closed when the request starts
	index   int           // in the heap, or -1 when removed
}

// waiters is a heap of requests. The first one starts next.
type waiters []*waiter

// Len returns the number of requests.
func (w waiters) Len() int { return len(w) }

// Less orders requests by virtual finish time, then by arrival.
func (w waiters) Less(i, j int) bool {
	if w[i].finish != w[j].finish {
		return w[i].finish < w[j].finish
	}
	return w[i].seq < w[j].seq
}

// Swap swaps two requests.
func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push adds a request.
func (w *waiters) Push(x any) {
	e := x.(*waiter)
	e.index = len(*w)
	*w = append(*w, e)
}

// Pop removes the last request.
func (w *waiters) Pop() any {
	old := *w
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*w = old[:len(old)-1]
	e.index = -1
	return e
}

func newQueue(clock spanrill.Clock, limit func() int) *queue {
	return &queue{clock: clock, limit: limit, finish: map[string]float64{}}
}

// maxTrackedAccounts is the number of accounts in the finish map at which it is pruned.
const maxTrackedAccounts = 8192

// join starts a request and returns nil, or queues it. It refuses the request if the queue is full
// or the expected wait is longer than maxWait.
func (q *queue) join(account string, weight float64, maxWaiting int, maxWait spanrill.Millis) (*waiter, *spanrill.Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 && q.running < q.limit() {
		q.running++
		return nil, nil
	}
	if len(q.waiting) >= maxWaiting {
		return nil, spanrill.NewRefusal(spanrill.ReasonQueueFull, "%d requests are waiting already", len(q.waiting)).
			WithRetryAfter(q.expectedWait(len(q.waiting)))
	}
	w := q.newWaiter(account, weight)
	heap.Push(&q.waiting, w)
	if wait := q.expectedWait(q.countBefore(w)); wait > maxWait {
		heap.Remove(&q.waiting, w.index)
		return nil, spanrill.NewRefusal(spanrill.ReasonQueueDeadline, "the request would wait %d ms, at most %d are allowed", wait, maxWait).
			WithRetryAfter(wait - maxWait + minRetryAfter)
	}
	q.setFinish(account, w)
	return w, nil
}

// minRetryAfter is added to the time by which the expected wait is too long, so that a request
// refused for its expected wait is not repeated too soon.
const minRetryAfter = 100 * spanrill.Millis(1)

func (q *queue) newWaiter(account string, weight float64) *waiter {
	q.seq++
	start := max(q.virtualTime, q.finish[account])
	return &waiter{finish: start + 1/weight, seq: q.seq, started: make(chan struct{})}
}

// setFinish stores the virtual finish time of the account's last request.
func (q *queue) setFinish(account string, w *waiter) {
	if len(q.finish) >= maxTrackedAccounts {
		q.pruneFinish()
	}
	q.finish[account] = w.finish
}

// pruneFinish removes accounts whose virtual finish time has passed.
func (q *queue) pruneFinish() {
	for account, finish := range q.finish {
		if finish <= q.virtualTime {
			delete(q.finish, account)
		}
	}
}

// countBefore returns how many requests start before w.
func (q *queue) countBefore(w *waiter) int {
	n := 0
	for _, other := range q.waiting {
		if other != w && (other.finish < w.finish || other.finish == w.finish && other.seq < w.seq) {
			n++
		}
	}
	return n
}

// expectedWait returns how long a request behind n others will wait at the current throughput, or
// 0 if the throughput is too low for an estimate.
func (q *queue) expectedWait(n int) spanrill.Millis {
	perSecond := q.throughput.valueAt(q.clock.Now())
	if perSecond < minThroughput {
		return 0
	}
	return spanrill.Millis(float64(n+1) / perSecond * float64(spanrill.Second))
}

// minThroughput is the throughput below which no wait is estimated, in requests per second.
const minThroughput = 0.5

// cancel removes a waiting request. It returns false if the request has already started.
func (q *queue) cancel(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.index < 0 {
		return false
	}
	heap.Remove(&q.waiting, w.index)
	return true
}

// finishRequest records that a request has ended, and starts waiting ones.
func (q *queue) finishRequest() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	q.throughput.add(q.clock.Now())
	q.startWaiting()
}

// recheckLimit starts waiting requests if the limit has increased.
func (q *queue) recheckLimit() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.startWaiting()
}

// startWaiting starts waiting requests up to the limit. The caller holds the lock.
func (q *queue) startWaiting() {
	for len(q.waiting) > 0 && q.running < q.limit() {
		w := heap.Pop(&q.waiting).(*waiter)
		q.virtualTime = max(q.virtualTime, w.finish)
		q.running++
		close(w.started)
	}
}

// depth returns the numbers of running and waiting requests.
func (q *queue) depth() (running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, len(q.waiting)
}
