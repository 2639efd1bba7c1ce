// Package returns gives refused callers the times at which they return. Callers that return together
// are refused again, and most return only once: their times are spaced so that at most a part of the
// requests that end make room for them. A planner is used where the refused callers of all daemons
// are known, and recognizes them when they return, through any daemon.
//
// # Usage
//
//	planner := returns.New(random.Float64)
//	retryAfter := planner.Plan(now, refused, endRate, waiting)
//	...
//	entry.Returned = planner.Redeem(now, content)
package returns

import (
	"math"

	"spanrill"
)

// Planner gives refused callers the times at which they return. It implements
// spanrill.ReturnPlanner: time is an argument, and it is not safe for concurrent use.
type Planner struct {
	random   func() float64
	part     float64
	all      bool // all returns are recognized
	calendar calendar
	expected expected
	refused  classRates
	started  classRates
	redeemed classRates
	endRate  float64 // last known one, per second
}

var _ spanrill.ReturnPlanner = (*Planner)(nil)

// Option changes a default of New.
type Option func(*Planner)

// WithPart sets the part of the requests that end whose room is promised to returning callers.
func WithPart(part float64) Option {
	return func(p *Planner) { p.part = part }
}

// WithAllRecognized makes Redeem recognize callers that came without a promise, however many they
// are. It is for lines in which callers that return do not go before others.
func WithAllRecognized() Option {
	return func(p *Planner) { p.all = true }
}

const (
	// defaultPart leaves half of the room to requests that arrive for the first time, so that these
	// are not refused in turn.
	defaultPart = 0.5
	// minReturn is the shortest retry time: room that is free sooner goes to requests that wait.
	minReturn = 100 * spanrill.Millis(1)
	// maxReturn is the longest retry time. Callers do not wait for longer.
	maxReturn = 5 * spanrill.Second
	// usablePart is the part of the time left to a caller up to which it honors a retry time.
	usablePart = 1.0 / 3
	// maxReserved is the part of the promised room that is left to a more urgent class at most.
	maxReserved = 0.75
	// minStartRate is the rate of all starts below which those of a class tell nothing, per second.
	minStartRate = 0.5
	// maxEndRate is the highest rate of ends that is believed, per second.
	maxEndRate = 1e6
	// unknownSpan is the time over which returns are spread while the rate of ends is unknown.
	unknownSpan = spanrill.Second
	// spreadTries is how many times are compared for a return without a free slot.
	spreadTries = 8
	// crowdedPart is the last part of the usable time, over which returns without a slot are spread.
	crowdedPart = 1.0 / 3
)

// New returns a planner that has planned no returns. Random returns numbers from 0 up to but not
// including 1.
func New(random func() float64, opts ...Option) *Planner {
	p := &Planner{
		random: random, part: defaultPart,
		expected: expected{byContent: map[uint64][]expectedReturn{}},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Plan returns the retry time of a refused caller, counted from now: the first time at which room
// is left for its class. It is at least 100 ms, else at most what the caller can use. If no room is
// left until then, the caller gets one of the last times that it can use, without a promise.
func (p *Planner) Plan(now spanrill.Millis, r spanrill.RefusedRequest, endRate float64, waiting int) spanrill.Millis {
	p.expected.prune(now)
	class, _ := spanrill.ClassOf(int(r.Class))
	p.refused.add(now, class)
	latest := latestReturn(r.Remaining)
	if latest < minReturn {
		return minReturn
	}
	if !(endRate > 0 && endRate <= maxEndRate) {
		wait := p.spread(now, minReturn, min(latest, minReturn+unknownSpan))
		p.promise(now+wait, r.Content, class)
		return wait
	}
	p.endRate = endRate
	earliest := minReturn
	if !r.Returned {
		earliest = afterWaiting(waiting, endRate, latest)
	}
	wait, ok := p.firstFree(now, class, p.roomFor(now, class, r.Returned), earliest, latest)
	if !ok || !p.promise(now+wait, r.Content, class) {
		wait = p.spread(now, latest-spanrill.Millis(crowdedPart*float64(latest-minReturn)), latest)
		p.expect(now+wait, r.Content, class)
	}
	return wait
}

// slotRoom is how many returns per second the slots may hold: those of a class and less urgent ones,
// and all.
type slotRoom struct{ ofClass, total float64 }

// roomFor returns the room for returns of a class. A caller that has not returned before leaves room
// to more urgent ones that are refused, so that these get earlier times.
func (p *Planner) roomFor(now spanrill.Millis, class spanrill.Class, returned bool) slotRoom {
	total := p.part * p.endRate
	room := slotRoom{ofClass: total, total: total}
	if !returned {
		for _, refused := range p.refused.byClass[:class] {
			room.ofClass -= min(refused, room.ofClass*maxReserved)
		}
	}
	room.ofClass = min(room.ofClass, p.roomOfClass(now, class))
	return room
}

// roomOfClass returns how many requests of a class may return per second: a part of those that
// start, since a class that is refused gets no more room.
func (p *Planner) roomOfClass(now spanrill.Millis, class spanrill.Class) float64 {
	p.started.decay(now)
	if p.started.sum() < minStartRate {
		return p.part * p.endRate
	}
	return p.part * p.started.byClass[class]
}

// latestReturn returns the longest retry time that a caller with some time left can use.
func latestReturn(remaining spanrill.Millis) spanrill.Millis {
	return spanrill.Millis(min(float64(remaining)*usablePart, float64(maxReturn)))
}

// afterWaiting returns the time after which the requests that wait have started, at most half of
// the usable time.
func afterWaiting(waiting int, endRate float64, latest spanrill.Millis) spanrill.Millis {
	wait := float64(waiting) / endRate * float64(spanrill.Second)
	return max(minReturn, spanrill.Millis(min(wait, float64(latest)/2)))
}

// firstFree returns the time until the first slots that have room for a class, at random within
// them.
func (p *Planner) firstFree(now spanrill.Millis, class spanrill.Class, room slotRoom, earliest, latest spanrill.Millis) (spanrill.Millis, bool) {
	slots := binSlots(room.ofClass)
	length := spanrill.Millis(slots) * slotMillis
	for first := slotOf(now+earliest) / slots * slots; ; first += slots {
		start := spanrill.Millis(first)*slotMillis - now
		from, to := max(earliest, start), min(latest, start+length-1)
		if from > latest {
			return 0, false
		}
		usable := seconds(to - from + 1)
		if p.calendar.promised(first, slots, class) < int(room.ofClass*usable) &&
			p.calendar.promised(first, slots, 0) < int(room.total*usable) {
			return from + spanrill.Millis(p.random()*float64(to-from+1)), true
		}
	}
}

// promise remembers a return for which there is room. It returns false if too many are remembered.
func (p *Planner) promise(at spanrill.Millis, content uint64, class spanrill.Class) bool {
	if content != 0 && !p.expected.add(content, expectedReturn{at: at, class: class, promised: true}) {
		return false
	}
	p.calendar.at(slotOf(at)).promised[class]++
	return true
}

// expect remembers a return for which no room is left.
func (p *Planner) expect(at spanrill.Millis, content uint64, class spanrill.Class) {
	if content != 0 {
		p.expected.add(content, expectedReturn{at: at, class: class})
	}
	p.calendar.at(slotOf(at)).unpromised++
}

// spread returns a time within a span at which few callers return.
func (p *Planner) spread(now, from, to spanrill.Millis) spanrill.Millis {
	best, fewest := to, math.MaxInt
	for range spreadTries {
		wait := from + spanrill.Millis(p.random()*float64(to-from))
		if n := p.calendar.at(slotOf(now + wait)).returns(); n < fewest {
			best, fewest = wait, n
		}
	}
	return best
}

// RecordStart records that a request starts. Without it the planner takes all classes to have room.
func (p *Planner) RecordStart(now spanrill.Millis, class spanrill.Class) {
	valid, _ := spanrill.ClassOf(int(class))
	p.started.add(now, valid)
}

// Redeem reports whether the caller of a request with this content was told to return about now. It
// is true once for each planned return, and never for content 0. A caller that came without a
// promise is recognized only if its class has room for more returns now, so that an account whose
// requests are refused in great numbers does not displace others by their returns.
func (p *Planner) Redeem(now spanrill.Millis, content uint64) bool {
	p.expected.prune(now)
	r, ok := p.expected.take(now, content)
	if content == 0 || !ok {
		return false
	}
	p.redeemed.decay(now)
	if !p.all && !r.promised && p.redeemed.byClass[r.class] >= p.roomOfClass(now, r.class) {
		return false
	}
	p.redeemed.add(now, r.class)
	return true
}

// Outstanding returns the number of promised returns that are not due yet.
func (p *Planner) Outstanding(now spanrill.Millis) int {
	p.expected.prune(now)
	return p.expected.promisedAfter(now)
}
