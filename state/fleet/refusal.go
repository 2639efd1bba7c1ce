package fleet

import (
	"sync/atomic"

	"spanrill"
)

// refusal is the state of an upstream that refuses new requests. Its running requests may continue.
type refusal struct {
	consecutive atomic.Int32 // consecutive refusals of requests of this daemon
	lastAt      atomic.Int64 // when this daemon was last refused or another daemon reported a refusal
	lastHereAt  atomic.Int64 // when this daemon was last refused
	until       atomic.Int64 // the upstream gets no new requests before this time
	unexplained atomic.Bool  // it refused although it has room, or another daemon reported it
}

const (
	// firstRefusalWait is the wait after a first refusal: an engine that was briefly full has
	// capacity again after a few tokens.
	firstRefusalWait spanrill.Millis = 60
	// refusalWithRoomWait is the minimum wait after a refusal by an upstream that has capacity: about
	// a heartbeat, after which its entry shows the reason.
	refusalWithRoomWait spanrill.Millis = 1200
	// reportedRefusalWait is the wait after a refusal reported by another daemon: two rounds of
	// exchanges between daemons.
	reportedRefusalWait spanrill.Millis = 500
	// maxCountedRefusals limits the exponential growth of the wait to about two seconds.
	maxCountedRefusals = 6
	// persistentRefusals is the number of consecutive refusals, which span 200 ms, after which the
	// engine is considered to be more than briefly full.
	persistentRefusals = 3
)

func (r *refusal) inEffect(now spanrill.Millis) bool { return int64(now) < r.until.Load() }

func (r *refusal) avoidFor(now, wait spanrill.Millis) {
	r.lastAt.Store(int64(now))
	r.until.Store(int64(now + wait))
}

// RecordRefusal records that the upstream has refused a new request, and keeps new requests from it for
// a time that grows with each consecutive refusal. An upstream that refuses although it has room is
// leaving without notice or giving up layers: it still serves its running requests, but the wait is
// longer from the first refusal on.
func (u *Upstream) RecordRefusal(now spanrill.Millis, hasRoom bool) {
	refusals := min(u.refusal.consecutive.Add(1), maxCountedRefusals)
	u.refusal.lastHereAt.Store(int64(now))
	wait := firstRefusalWait << (refusals - 1)
	if hasRoom {
		wait = max(wait, refusalWithRoomWait)
		u.refusal.unexplained.Store(true)
	}
	u.refusal.avoidFor(now, wait)
	u.addToActive()
}

// RecordReportedRefusal records that another daemon has reported that the upstream refuses new
// requests.
func (u *Upstream) RecordReportedRefusal(now spanrill.Millis) {
	if !u.Avoided(now) {
		u.refusal.unexplained.Store(true)
		u.refusal.avoidFor(now, reportedRefusalWait)
	}
}

// RefusesPersistently reports whether the upstream has recently refused new requests, and not only
// because it was briefly full.
func (u *Upstream) RefusesPersistently(now spanrill.Millis) bool {
	r := &u.refusal
	return r.inEffect(now) && (r.unexplained.Load() || r.consecutive.Load() >= persistentRefusals)
}

// LastRefusalAt returns when the upstream last refused a request of this daemon.
func (u *Upstream) LastRefusalAt() spanrill.Millis {
	return spanrill.Millis(u.refusal.lastHereAt.Load())
}

// RefusesThisDaemon reports whether the upstream refuses requests, rests or is leaving according to
// its answers to this daemon. A rest is requested from a single daemon, and an announcement that the
// upstream is leaving may have reached only this one. Other daemons may still send requests to it, but
// prefer other upstreams.
func (u *Upstream) RefusesThisDaemon(now spanrill.Millis) bool {
	return u.refusal.consecutive.Load() > 0 && u.RefusesPersistently(now) || u.Resting(now) || u.AnnouncedLeaving()
}

// RecordAccepted records that the upstream processes a request. If the request was not sent before the
// last refusal, the upstream is no longer avoided because of refusals.
func (u *Upstream) RecordAccepted(sentAt spanrill.Millis) {
	r := &u.refusal
	if int64(sentAt) < r.lastAt.Load() {
		return
	}
	r.consecutive.Store(0)
	r.unexplained.Store(false)
	r.until.Store(0)
}
