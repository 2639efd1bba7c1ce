package admission

import (
	"math"
	"sync"

	"spanrill"
	"spanrill/state/config"
)

// account holds what one client account uses of this daemon.
type account struct {
	mu       sync.Mutex
	requests bucket
	tokens   bucket
	inFlight int
	used     spanrill.Millis
}

// bucket is a token bucket that may be overdrawn by what is charged later.
type bucket struct {
	level float64
	at    spanrill.Millis
	open  bool // whether it was filled before
}

// burstSeconds is how many seconds of a rate can be saved up.
const burstSeconds = 2.0

// refill brings the bucket up to now and returns its level.
func (b *bucket) refill(perSecond float64, now spanrill.Millis) float64 {
	most := math.Max(1, perSecond*burstSeconds)
	if !b.open {
		b.level, b.open = most, true
	} else {
		b.level += perSecond * float64(now-b.at) / float64(spanrill.Second)
	}
	b.level = math.Min(b.level, most)
	b.at = now
	return b.level
}

// until returns when the level will have risen to want.
func (b *bucket) until(want, perSecond float64) spanrill.Millis {
	if b.level >= want {
		return 0
	}
	if perSecond <= 0 {
		return spanrill.Minute
	}
	return spanrill.Millis(math.Ceil((want - b.level) / perSecond * float64(spanrill.Second)))
}

// enter takes a request into the account, or says why not and when to come
// back. Share is the part of the limits that this daemon may use.
func (a *account) enter(l config.GrantLimits, share float64, now spanrill.Millis) *spanrill.Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used = now
	if n := l.InFlight(); n > 0 && a.inFlight >= atLeastOne(share*float64(n)) {
		return spanrill.NewRefusal(spanrill.ReasonAccountInFlight, "%d requests in flight here, the limit is %d over all daemons", a.inFlight, n).
			WithRetryAfter(inFlightRetry)
	}
	if n := l.TokensPerSecond(); n > 0 {
		perSecond := share * float64(n)
		if a.tokens.refill(perSecond, now) < 0 {
			return spanrill.NewRefusal(spanrill.ReasonAccountTokens, "the limit is %d tokens a second over all daemons", n).
				WithRetryAfter(a.tokens.until(0, perSecond))
		}
	}
	if n := l.RequestsPerSecond(); n > 0 {
		perSecond := share * float64(n)
		if a.requests.refill(perSecond, now) < 1 {
			return spanrill.NewRefusal(spanrill.ReasonAccountRate, "the limit is %d requests a second over all daemons", n).
				WithRetryAfter(a.requests.until(1, perSecond))
		}
		a.requests.level--
	}
	a.inFlight++
	return nil
}

// inFlightRetry is when to come back with too many requests in flight.
const inFlightRetry = 200 * spanrill.Millis(1)

func atLeastOne(x float64) int { return max(1, int(math.Round(x))) }

// leave takes a request out of the account and charges its tokens.
func (a *account) leave(l config.GrantLimits, share float64, tokens int, now spanrill.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight--
	if n := l.TokensPerSecond(); n > 0 {
		a.tokens.refill(share*float64(n), now)
		a.tokens.level -= float64(tokens)
	}
}

// idle reports whether the account has not been used for a while.
func (a *account) idle(now spanrill.Millis) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inFlight == 0 && now-a.used > spanrill.Minute
}
