package admission

import (
	"container/heap"
	"sync"

	"spanrill"
)

// queue lets a bounded number of requests of one model run at once. The others
// wait in the order of weighted fair queueing: each account advances through
// virtual time by the inverse of its weight, so that an account that sends much
// waits behind itself and not before others.
type queue struct {
	clock spanrill.Clock
	limit func() int // requests that may run at once

	mu      sync.Mutex
	running int
	waiting waiters
	virtual float64            // virtual time of the request that started last
	finish  map[string]float64 // virtual finish time of each account's last request
	pace    rate               // requests that ended, a second
	seq     uint64
}

// waiter is a request that waits.
type waiter struct {
	finish float64
	seq    uint64
	start  chan struct{}
	index  int // in the heap, or -1 once it has left
}

// waiters is a heap of requests, the one to start next first.
type waiters []*waiter

// Len returns the number of requests.
func (w waiters) Len() int { return len(w) }

// Less orders by virtual finish time, then by arrival.
func (w waiters) Less(i, k int) bool {
	if w[i].finish != w[k].finish {
		return w[i].finish < w[k].finish
	}
	return w[i].seq < w[k].seq
}

// Swap swaps two requests.
func (w waiters) Swap(i, k int) {
	w[i], w[k] = w[k], w[i]
	w[i].index, w[k].index = i, k
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

// maxFinish bounds the accounts whose virtual time is remembered.
const maxFinish = 8192

// join starts a request at once and returns nil, or queues it. A queue that is
// full, or too slow for the longest wait allowed, refuses it.
func (q *queue) join(account string, weight float64, most int, longest spanrill.Millis) (*waiter, *spanrill.Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 && q.running < q.limit() {
		q.running++
		return nil, nil
	}
	if len(q.waiting) >= most {
		return nil, spanrill.NewRefusal(spanrill.ReasonQueueFull, "%d requests wait already", len(q.waiting)).
			WithRetryAfter(q.expectedWait(len(q.waiting)))
	}
	w := q.newWaiter(account, weight)
	heap.Push(&q.waiting, w)
	if wait := q.expectedWait(q.before(w)); wait > longest {
		heap.Remove(&q.waiting, w.index)
		return nil, spanrill.NewRefusal(spanrill.ReasonQueueDeadline, "the request would wait %d ms, at most %d are allowed", wait, longest).
			WithRetryAfter(wait - longest + minRetry)
	}
	q.advance(account, w)
	return w, nil
}

// minRetry is the shortest time after which a refused caller comes back.
const minRetry = 100 * spanrill.Millis(1)

func (q *queue) newWaiter(account string, weight float64) *waiter {
	q.seq++
	start := max(q.virtual, q.finish[account])
	return &waiter{finish: start + 1/weight, seq: q.seq, start: make(chan struct{})}
}

// advance moves the account's virtual time.
func (q *queue) advance(account string, w *waiter) {
	if len(q.finish) >= maxFinish {
		q.forgetPast()
	}
	q.finish[account] = w.finish
}

// forgetPast drops accounts whose virtual time lies behind.
func (q *queue) forgetPast() {
	for a, f := range q.finish {
		if f <= q.virtual {
			delete(q.finish, a)
		}
	}
}

// before returns how many requests start before w.
func (q *queue) before(w *waiter) int {
	n := 0
	for _, o := range q.waiting {
		if o != w && (o.finish < w.finish || o.finish == w.finish && o.seq < w.seq) {
			n++
		}
	}
	return n
}

// expectedWait returns how long a request behind n others will wait at the
// pace at which requests ended lately.
func (q *queue) expectedWait(n int) spanrill.Millis {
	pace := q.pace.now(q.clock.Now())
	if pace < minPace {
		return 0
	}
	return spanrill.Millis(float64(n+1) / pace * float64(spanrill.Second))
}

// minPace is the pace below which no wait can be foretold.
const minPace = 0.5

// quit takes a waiting request out, and reports false if it has started.
func (q *queue) quit(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.index < 0 {
		return false
	}
	heap.Remove(&q.waiting, w.index)
	return true
}

// end notes that a request has ended and starts those that now may.
func (q *queue) end() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	q.pace.add(q.clock.Now())
	q.startNext()
}

// kick starts requests after the limit may have risen.
func (q *queue) kick() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.startNext()
}

// startNext starts waiting requests. The caller holds the lock.
func (q *queue) startNext() {
	for len(q.waiting) > 0 && q.running < q.limit() {
		w := heap.Pop(&q.waiting).(*waiter)
		q.virtual = max(q.virtual, w.finish)
		q.running++
		close(w.start)
	}
}

// depth returns the requests that run and wait.
func (q *queue) depth() (running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, len(q.waiting)
}
