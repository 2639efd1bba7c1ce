package fleet

import (
	"sync/atomic"

	"spanrill"
)

// refusal is what this daemon knows of an upstream that refuses new requests.
// What runs on it may go on.
type refusal struct {
	times  atomic.Int32 // refusals met here in a row
	at     atomic.Int64 // when the last one was met or told
	metAt  atomic.Int64 // when the last one was met here
	until  atomic.Int64 // gets no new requests until then
	unsaid atomic.Bool  // it refuses although its entry and its room say otherwise
}

const (
	// firstRefusal is how long a first refusal keeps requests away: an engine
	// that was full for a moment has room again after a few tokens.
	firstRefusal spanrill.Millis = 60
	// roomyRefusal is how long an upstream is left alone that refuses although
	// it has room: about a heartbeat, after which its entry says why.
	roomyRefusal spanrill.Millis = 1200
	// toldRefusal is how long another daemon's word goes: two rounds of news.
	toldRefusal spanrill.Millis = 500
	// maxRefusals bounds the growth: two seconds.
	maxRefusals = 6
	// refusingTimes is how many refusals in a row mean that the engine is not
	// just full: they span 200 ms.
	refusingTimes = 3
)

func (r *refusal) holds(now spanrill.Millis) bool { return int64(now) < r.until.Load() }

func (r *refusal) hold(now, wait spanrill.Millis) {
	r.at.Store(int64(now))
	r.until.Store(int64(now + wait))
}

// Refused notes that the upstream has refused a new request, and keeps new
// ones away for a while, longer each time until one is taken again. One that
// refuses although it has room is leaving without a word, or gives up layers: it
// serves what runs, and is left alone for longer from the first time.
func (u *Upstream) Refused(now spanrill.Millis, hasRoom bool) {
	times := min(u.refusal.times.Add(1), maxRefusals)
	u.refusal.metAt.Store(int64(now))
	wait := firstRefusal << (times - 1)
	if hasRoom {
		wait = max(wait, roomyRefusal)
		u.refusal.unsaid.Store(true)
	}
	u.refusal.hold(now, wait)
	u.activate()
}

// Told takes another daemon's word that the upstream refuses new requests.
func (u *Upstream) Told(now spanrill.Millis) {
	if !u.Avoided(now) {
		u.refusal.unsaid.Store(true)
		u.refusal.hold(now, toldRefusal)
	}
}

// Refusing reports whether the upstream has refused new requests not long ago,
// and not just because it was full for a moment.
func (u *Upstream) Refusing(now spanrill.Millis) bool {
	r := &u.refusal
	return r.holds(now) && (r.unsaid.Load() || r.times.Load() >= refusingTimes)
}

// RefusedAt returns when the upstream last refused a request of this daemon.
func (u *Upstream) RefusedAt() spanrill.Millis { return spanrill.Millis(u.refusal.metAt.Load()) }

// RefusedHere reports whether it was this daemon that found it refusing. A rest is asked of
// one daemon and a word that it leaves may have reached one alone; the others are not bound
// by it, and rather take another upstream.
func (u *Upstream) RefusedHere(now spanrill.Millis) bool {
	return u.refusal.times.Load() > 0 && u.Refusing(now) || u.Rests(now) || u.SaidLeaving()
}

// Accepted notes that the upstream works on a new request that was sent then. If
// that was after the last refusal, it takes requests again.
func (u *Upstream) Accepted(sentAt spanrill.Millis) {
	r := &u.refusal
	if int64(sentAt) < r.at.Load() {
		return
	}
	r.times.Store(0)
	r.unsaid.Store(false)
	r.until.Store(0)
}
