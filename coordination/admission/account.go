package admission

import (
	"math"
	"sync"

	"spanrill"
	"spanrill/state/config"
)

// account tracks the use of this daemon by a client account.
type account struct {
	mu       sync.Mutex
	requests bucket
	tokens   bucket
	inFlight int
	usedAt   spanrill.Millis
}

// bucket is a token bucket. Its level may become negative, because tokens are charged after
// a request has ended.
type bucket struct {
	level       float64
	updatedAt   spanrill.Millis
	initialized bool // whether level is set
}

// burstSeconds is the capacity of a bucket in seconds of its rate.
const burstSeconds = 2.0

// refill updates the level to the current time and returns it. A new bucket is full.
func (b *bucket) refill(perSecond float64, now spanrill.Millis) float64 {
	capacity := math.Max(1, perSecond*burstSeconds)
	if !b.initialized {
		b.level, b.initialized = capacity, true
	} else {
		b.level += perSecond * float64(now-b.updatedAt) / float64(spanrill.Second)
	}
	b.level = math.Min(b.level, capacity)
	b.updatedAt = now
	return b.level
}

// waitFor returns how long it takes until the bucket reaches the given level.
func (b *bucket) waitFor(level, perSecond float64) spanrill.Millis {
	if b.level >= level {
		return 0
	}
	if perSecond <= 0 {
		return spanrill.Minute
	}
	return spanrill.Millis(math.Ceil((level - b.level) / perSecond * float64(spanrill.Second)))
}

// acquire adds a request to the account, or returns a refusal with the time after which to retry.
// The share is the fraction of the limits that this daemon may use.
func (a *account) acquire(l config.GrantLimits, share float64, now spanrill.Millis) *spanrill.Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.usedAt = now
	if n := l.InFlight(); n > 0 && a.inFlight >= atLeastOne(share*float64(n)) {
		return spanrill.NewRefusal(spanrill.ReasonAccountInFlight, "%d requests in flight at this daemon, the limit is %d over all daemons", a.inFlight, n).
			WithRetryAfter(inFlightRetryAfter)
	}
	if n := l.TokensPerSecond(); n > 0 {
		perSecond := share * float64(n)
		if a.tokens.refill(perSecond, now) < 0 {
			return spanrill.NewRefusal(spanrill.ReasonAccountTokens, "the limit is %d tokens a second over all daemons", n).
				WithRetryAfter(a.tokens.waitFor(0, perSecond))
		}
	}
	if n := l.RequestsPerSecond(); n > 0 {
		perSecond := share * float64(n)
		if a.requests.refill(perSecond, now) < 1 {
			return spanrill.NewRefusal(spanrill.ReasonAccountRate, "the limit is %d requests a second over all daemons", n).
				WithRetryAfter(a.requests.waitFor(1, perSecond))
		}
		a.requests.level--
	}
	a.inFlight++
	return nil
}

// inFlightRetryAfter is the time after which to retry when too many requests are in flight.
const inFlightRetryAfter = 200 * spanrill.Millis(1)

func atLeastOne(n float64) int { return max(1, int(math.Round(n))) }

// release removes a request from the account and charges its tokens.
func (a *account) release(l config.GrantLimits, share float64, tokens int, now spanrill.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight--
	if n := l.TokensPerSecond(); n > 0 {
		a.tokens.refill(share*float64(n), now)
		a.tokens.level -= float64(tokens)
	}
}

// isIdle reports whether the account has no request in flight and has had none for a minute.
func (a *account) isIdle(now spanrill.Millis) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inFlight == 0 && now-a.usedAt > spanrill.Minute
}
