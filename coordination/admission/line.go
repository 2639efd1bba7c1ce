package admission

import (
	"math"

	"spanrill"
)

// Line orders the requests that wait for room. It implements spanrill.StartLine. Requests are
// refused by their expected wait: those before them in the order, over the rate at which waiting
// requests start and are not overtaken.
type Line struct {
	capacity int
	rate     float64 // waiting requests that start per second, 0 if unknown
	now      spanrill.Millis
	seq      uint64
	waiting  map[uint64]*lineEntry
	classes  [spanrill.ClassCount]lineClass
	share    classShare
	// overtakenByOthers counts the requests that entered before those of a class from other classes,
	// and overtakenByOwn the parts of their own class that requests entered before.
	overtakenByOthers classSums
	overtakenByOwn    classSums
}

var _ spanrill.StartLine = (*Line)(nil)

// LineOption changes a default of NewLine.
type LineOption func(*Line)

// WithCapacity sets how many requests may wait.
func WithCapacity(requests int) LineOption {
	return func(l *Line) { l.capacity = requests }
}

const (
	// Overtaking rates are measured with a half-life of about as long as requests wait, but of at
	// least overtakingStarts starts.
	minOvertakingHalfLife = 300 * spanrill.Millis(1)
	overtakingStarts      = 10
	// minLineRate is the rate below which no wait is estimated, in requests per second.
	minLineRate = 0.5
	// maxExpectedWait bounds the waits that are returned.
	maxExpectedWait = spanrill.Minute
)

// NewLine returns a line in which no request waits and whose rate is unknown.
func NewLine(opts ...LineOption) *Line {
	l := &Line{
		capacity: defaultMaxWaiting, waiting: map[uint64]*lineEntry{}, share: newClassShare(),
		overtakenByOthers: classSums{halfLife: minOvertakingHalfLife},
		overtakenByOwn:    classSums{halfLife: minOvertakingHalfLife},
	}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Enter adds a request. It returns false if the request cannot start in time, or if the line is full
// and the request would start last; it has then been counted as refused. Dropped are the requests
// that can no longer start in time, or have no place any more. A request that waits already stays as
// it is.
func (l *Line) Enter(now spanrill.Millis, e spanrill.LineEntry) (ok bool, dropped []spanrill.LineEntry) {
	l.advance(now)
	if l.waiting[e.ID] != nil {
		return true, nil
	}
	entry := l.newEntry(e)
	position := l.classes[entry.Class].position(entry)
	if !l.startsInTime(now, entry, position) {
		l.share.recordLoss(l.now, entry.Class)
		return false, nil
	}
	if len(l.waiting) >= l.capacity {
		last := l.last()
		if last == nil || !l.goesBefore(entry, last) {
			l.share.recordLoss(l.now, entry.Class)
			return false, nil
		}
		l.lose(last)
		dropped = append(dropped, last.LineEntry)
		position = l.classes[entry.Class].position(entry)
	}
	l.add(entry, position)
	return true, append(dropped, l.Drop(now)...)
}

// startsInTime reports whether a new request is expected to start by its latest start.
func (l *Line) startsInTime(now spanrill.Millis, e *lineEntry, position int) bool {
	return now < e.LatestStart && l.expectedWait(e.Class, position) <= timeLeft(now, e)
}

// add adds a request at its position in its class.
func (l *Line) add(e *lineEntry, position int) {
	own := &l.classes[e.Class]
	if n := len(own.waiting); n > 0 {
		l.overtakenByOwn.add(l.now, e.Class, float64(n-position)/float64(n))
	}
	l.recordEntry(e.Class)
	own.insert(position, e)
	l.waiting[e.ID] = e
}

// recordEntry records which classes a request overtakes, or would if they had requests waiting.
func (l *Line) recordEntry(class spanrill.Class) {
	for c := class + 1; c < spanrill.ClassCount; c++ {
		l.overtakenByOthers.add(l.now, c, 1)
	}
}

// recordStart counts a request that starts. A request of a starved class has overtaken those of more
// urgent ones.
func (l *Line) recordStart(class spanrill.Class) {
	if l.share.starved(class) {
		for c := range class {
			l.overtakenByOthers.add(l.now, c, 1)
		}
	}
	l.share.recordStart(l.now, class)
}

// Next returns the request that starts next, without removing it. It passes over requests whose latest
// start has passed; Drop returns these. It also passes over the ids in skip, at most four of each
// class: a class of which so many are passed over has none that starts.
func (l *Line) Next(now spanrill.Millis, skip map[uint64]bool) (spanrill.LineEntry, bool) {
	l.advance(now)
	var next *lineEntry
	for class := range l.classes {
		first := l.classes[class].firstInTime(now, skip)
		if first != nil && (next == nil || l.rank(first.Class) < l.rank(next.Class)) {
			next = first
		}
	}
	if next == nil {
		return spanrill.LineEntry{}, false
	}
	return next.LineEntry, true
}

// Start removes a request that starts. A request that never waited is only counted.
func (l *Line) Start(now spanrill.Millis, e spanrill.LineEntry) {
	l.advance(now)
	entry := l.waiting[e.ID]
	if entry == nil {
		class := validClass(e.Class)
		l.recordEntry(class)
		l.recordStart(class)
		return
	}
	l.classes[entry.Class].start(entry)
	delete(l.waiting, e.ID)
	l.recordStart(entry.Class)
}

// Remove removes a request that no longer wants to start. It reports whether it was waiting.
func (l *Line) Remove(id uint64) bool {
	entry := l.waiting[id]
	if entry == nil {
		return false
	}
	l.lose(entry)
	return true
}

// Drop removes and returns the requests that cannot start in time any more, even if no further
// request enters before them.
func (l *Line) Drop(now spanrill.Millis) []spanrill.LineEntry {
	l.advance(now)
	var late []*lineEntry
	ahead := 0
	for class := range l.classes {
		position, starved := 0, l.starvedBefore(spanrill.Class(class))
		for _, e := range l.classes[class].waiting {
			if l.leastWait(e.Class, position, ahead+starved) > timeLeft(now, e) {
				late = append(late, e)
				continue
			}
			position++
			ahead++
		}
	}
	var dropped []spanrill.LineEntry
	for _, e := range late {
		l.lose(e)
		dropped = append(dropped, e.LineEntry)
	}
	return dropped
}

// RecordRefused counts a request that is refused for lack of room without having been offered to
// Enter.
func (l *Line) RecordRefused(now spanrill.Millis, e spanrill.LineEntry) {
	l.advance(now)
	l.share.recordLoss(l.now, validClass(e.Class))
}

// SetRate sets how many waiting requests start per second, for the expected waits. Without a rate,
// requests may wait until their latest start.
func (l *Line) SetRate(perSecond float64) {
	if !(perSecond >= minLineRate) || math.IsInf(perSecond, 0) {
		perSecond = 0
	}
	l.rate = perSecond
	if perSecond > 0 {
		halfLife := max(minOvertakingHalfLife, spanrill.Millis(overtakingStarts/perSecond*float64(spanrill.Second)))
		l.overtakenByOthers.halfLife, l.overtakenByOwn.halfLife = halfLife, halfLife
	}
}

// Wait returns how long a new request would wait, at most a minute, or 0 if the rate is unknown.
func (l *Line) Wait(now spanrill.Millis, e spanrill.LineEntry) spanrill.Millis {
	l.advance(now)
	entry := l.newEntry(e)
	wait := l.expectedWait(entry.Class, l.classes[entry.Class].position(entry))
	return spanrill.Millis(min(wait, float64(maxExpectedWait)))
}

// Len returns the number of waiting requests.
func (l *Line) Len() int { return len(l.waiting) }

// LenOf returns the number of waiting requests of a class.
func (l *Line) LenOf(class spanrill.Class) int { return len(l.classes[validClass(class)].waiting) }

// advance sets the time to which sums have decayed. An earlier time is ignored.
func (l *Line) advance(now spanrill.Millis) {
	l.now = max(l.now, now)
	for _, sums := range []*classSums{&l.share.decided, &l.share.started, &l.overtakenByOthers, &l.overtakenByOwn} {
		sums.decay(l.now)
	}
}

// newEntry returns a request with valid class and weight and its place in the order.
func (l *Line) newEntry(e spanrill.LineEntry) *lineEntry {
	e.Class, e.Weight = validClass(e.Class), validWeight(e.Weight)
	l.seq++
	return &lineEntry{LineEntry: e, finish: l.classes[e.Class].tags.next(e.Account, e.Weight), seq: l.seq}
}

// lose removes a request that does not start.
func (l *Line) lose(e *lineEntry) {
	l.classes[e.Class].leave(e)
	delete(l.waiting, e.ID)
	l.share.recordLoss(l.now, e.Class)
}
