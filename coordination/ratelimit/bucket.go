package ratelimit

import (
	"sync"

	"spanrill"
)

const (
	// minCapacity is the minimum capacity of a bucket. At higher rates a bucket holds the tokens
	// of burstSeconds. Within four seconds a bucket grants at most 4.25 times the limit per second
	// plus two, and a standby bucket 1.275 times plus two, where six times plus five are allowed.
	minCapacity  = 2
	burstSeconds = 0.25
	// standbyShare is the fraction of the limit that a standby daemon grants while the preferred
	// daemon may still grant all of it.
	standbyShare = 0.3
	// minRate permits one request every four seconds under any limit, so that the removal of
	// a limit of zero is detected.
	minRate = 0.25
	// maxRetryAfter bounds the wait that is returned to a daemon, because the limit may be raised
	// in the meantime.
	maxRetryAfter = 5 * spanrill.Second
	// bucketRetention is how long an unused bucket is retained.
	bucketRetention = 60 * spanrill.Second
)

// bucket is a token bucket.
type bucket struct {
	tokens    float64
	updatedAt spanrill.Millis // when tokens was computed
	nextRetry spanrill.Millis // retry time of the last denial
}

// take consumes a token. If none is available, it returns how long to wait before the next
// attempt. Successive denials return successive retry times, so that daemons do not all retry
// at once.
func (b *bucket) take(now spanrill.Millis, perSecond float64) (wait spanrill.Millis, ok bool) {
	perMillisecond := perSecond / float64(spanrill.Second)
	capacity := max(minCapacity, perMillisecond*burstSeconds*float64(spanrill.Second))
	b.tokens = min(capacity, b.tokens+perMillisecond*float64(now-b.updatedAt))
	b.updatedAt = now
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	interval := 1 / perMillisecond
	earliest := now + spanrill.Millis((1-b.tokens)*interval)
	b.nextRetry = max(earliest, b.nextRetry+spanrill.Millis(interval))
	if b.nextRetry > now+maxRetryAfter {
		b.nextRetry = min(earliest, now+maxRetryAfter)
	}
	return max(1, b.nextRetry-now), false
}

// Buckets holds the buckets of the upstreams for which this daemon grants permits.
type Buckets struct {
	clock spanrill.Clock

	mu    sync.Mutex
	byKey map[bucketKey]*bucket
}

type bucketKey struct {
	upstream uint32 // hash of the upstream id
	standby  bool
}

// NewBuckets returns an empty set of buckets.
func NewBuckets(clock spanrill.Clock) *Buckets {
	return &Buckets{clock: clock, byKey: map[bucketKey]*bucket{}}
}

// Take consumes a token of an upstream. If none is available, it returns how long to wait before
// the next attempt. A standby bucket is separate and fills at standbyShare of the limit. A new bucket
// is empty, because the daemon that held the bucket before may just have granted its tokens.
func (b *Buckets) Take(upstream uint32, perSecond float64, standby bool) (wait spanrill.Millis, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, key := b.clock.Now(), bucketKey{upstream, standby}
	entry := b.byKey[key]
	if entry == nil {
		b.prune(now)
		entry = &bucket{updatedAt: now}
		b.byKey[key] = entry
	}
	perSecond = max(minRate, perSecond)
	if standby {
		perSecond *= standbyShare
	}
	return entry.take(now, perSecond)
}

// prune deletes expired buckets. The caller holds the lock.
func (b *Buckets) prune(now spanrill.Millis) {
	for key, entry := range b.byKey {
		if now-entry.updatedAt > bucketRetention {
			delete(b.byKey, key)
		}
	}
}
