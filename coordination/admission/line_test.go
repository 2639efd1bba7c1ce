package admission

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"spanrill"
)

// never is a latest start that no test reaches.
const never = 60 * spanrill.Minute

func lineIDs(entries []spanrill.LineEntry) []uint64 {
	var ids []uint64
	for _, e := range entries {
		ids = append(ids, e.ID)
	}
	return ids
}

// startAll starts all requests and returns their ids in order.
func startAll(l *Line, now spanrill.Millis) []uint64 {
	var ids []uint64
	for {
		e, ok := l.Next(now, nil)
		if !ok {
			return ids
		}
		l.Start(now, e)
		ids = append(ids, e.ID)
	}
}

func TestLineOrder(t *testing.T) {
	for _, c := range []struct {
		name    string
		entries []spanrill.LineEntry
		want    []uint64
	}{
		{"class", []spanrill.LineEntry{{ID: 1, Class: 2}, {ID: 2, Class: 1}, {ID: 3, Class: 0}}, []uint64{3, 2, 1}},
		{"returned", []spanrill.LineEntry{{ID: 1, Account: "a"}, {ID: 2, Account: "b", Returned: true}}, []uint64{2, 1}},
		{"class before returned", []spanrill.LineEntry{{ID: 1, Class: 1, Returned: true}, {ID: 2}}, []uint64{2, 1}},
		{"accounts", []spanrill.LineEntry{{ID: 1, Account: "a"}, {ID: 2, Account: "a"}, {ID: 3, Account: "b"}}, []uint64{1, 3, 2}},
		{"weights", []spanrill.LineEntry{{ID: 1, Account: "a"}, {ID: 2, Account: "b", Weight: 3}, {ID: 3, Account: "b", Weight: 3}}, []uint64{2, 3, 1}},
		{"returned out of turn", []spanrill.LineEntry{
			{ID: 1, Account: "a"}, {ID: 2, Account: "a"}, {ID: 3, Account: "a", Returned: true}, {ID: 4, Account: "b"},
		}, []uint64{3, 1, 4, 2}},
		{"time left", []spanrill.LineEntry{{ID: 1, Account: "a"}, {ID: 2, Account: "b", LatestStart: 500}}, []uint64{2, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := NewLine()
			for _, e := range c.entries {
				if e.LatestStart == 0 {
					e.LatestStart = never
				}
				l.Enter(1, e)
			}
			if got := startAll(l, 2); !slices.Equal(got, c.want) {
				t.Errorf("started %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against an account whose returning requests advance its other ones beyond those of others.
func TestReturnedRequestsDoNotDelayLaterOnesOfOtherAccounts(t *testing.T) {
	l := NewLine()
	for id := range uint64(5) {
		l.Enter(1, spanrill.LineEntry{ID: id + 1, Account: "greedy", LatestStart: never})
	}
	returned := spanrill.LineEntry{ID: 6, Account: "greedy", LatestStart: never, Returned: true}
	l.Enter(1, returned)
	l.Start(1, returned)
	l.Enter(1, spanrill.LineEntry{ID: 7, Account: "modest", LatestStart: never})
	if got := startAll(l, 1); !slices.Equal(got, []uint64{1, 7, 2, 3, 4, 5}) {
		t.Errorf("started %v, want request 7 second", got)
	}
}

// Guards against patient requests that wait although more urgent ones have taken their time.
func TestLineDropsWhatAnUrgentRequestPushesBeyondItsLatestStart(t *testing.T) {
	l := NewLine()
	l.SetRate(10)
	l.Enter(1, spanrill.LineEntry{ID: 1, Class: 1, LatestStart: 151})
	if ok, dropped := l.Enter(1, spanrill.LineEntry{ID: 2, LatestStart: 151}); !ok || dropped != nil {
		t.Fatalf("entered %v, dropped %v, want no request dropped that can start after one other", ok, dropped)
	}
	ok, dropped := l.Enter(1, spanrill.LineEntry{ID: 3, LatestStart: 401})
	if !ok || !slices.Equal(lineIDs(dropped), []uint64{1}) {
		t.Fatalf("entered %v, dropped %v, want request 1 dropped", ok, dropped)
	}
	if ok, _ := l.Enter(1, spanrill.LineEntry{ID: 4, LatestStart: 151}); ok {
		t.Error("a request entered that cannot start in time")
	}
	l.SetRate(1)
	if dropped := l.Drop(1); !slices.Equal(lineIDs(dropped), []uint64{3}) {
		t.Errorf("dropped %v when the rate fell, want request 3", dropped)
	}
}

// Guards against a line that is full of one account's requests, or of patient ones, and refuses others.
func TestFullLineKeepsWhatStartsFirst(t *testing.T) {
	l := NewLine(WithCapacity(2))
	for id := range uint64(2) {
		l.Enter(1, spanrill.LineEntry{ID: id + 1, Class: 1, Account: "greedy", LatestStart: never})
	}
	if ok, _ := l.Enter(1, spanrill.LineEntry{ID: 3, Class: 1, Account: "greedy", LatestStart: never}); ok {
		t.Error("a request entered a full line in the last place")
	}
	ok, dropped := l.Enter(1, spanrill.LineEntry{ID: 4, Class: 1, Account: "modest", LatestStart: never})
	if !ok || !slices.Equal(lineIDs(dropped), []uint64{2}) {
		t.Errorf("entered %v, dropped %v, want the last request dropped", ok, dropped)
	}
	if l.Len() != 2 {
		t.Errorf("%d requests wait, want 2", l.Len())
	}
}

// Guards against accounts that pay for requests which did not start.
func TestRemovedRequestsDoNotDelayTheirAccount(t *testing.T) {
	l := NewLine()
	for id := range uint64(5) {
		l.Enter(1, spanrill.LineEntry{ID: id + 1, Account: "a", LatestStart: never})
	}
	for id := range uint64(5) {
		if !l.Remove(id + 1) {
			t.Fatalf("request %d was not waiting", id+1)
		}
	}
	if l.Remove(1) {
		t.Error("a request was removed twice")
	}
	l.Enter(1, spanrill.LineEntry{ID: 6, Account: "a", LatestStart: never})
	l.Enter(1, spanrill.LineEntry{ID: 7, Account: "b", LatestStart: never})
	if got := startAll(l, 1); !slices.Equal(got, []uint64{6, 7}) {
		t.Errorf("started %v, want request 6 first, which arrived first", got)
	}
}

// Guards against values from peers that break the order or the expected waits.
func TestLineAcceptsAnyValues(t *testing.T) {
	times := []spanrill.Millis{math.MinInt64, -5, 0, 1, 1e18, math.MaxInt64}
	numbers := []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, 1e-300, 1, 1e300}
	l := NewLine(WithCapacity(64))
	id := uint64(0)
	for _, latest := range times {
		for _, number := range numbers {
			for _, class := range []spanrill.Class{0, 9, 10, 255} {
				id++
				e := spanrill.LineEntry{ID: id % 100, Class: class, Weight: number, LatestStart: latest}
				now := times[id%5] / 2
				l.SetRate(number)
				l.RecordRefused(now, e)
				l.Enter(now, e)
				if wait := l.Wait(now, e); wait < 0 || wait > maxExpectedWait {
					t.Fatalf("wait %d with rate %v", wait, number)
				}
				l.Start(now, spanrill.LineEntry{ID: id, Class: class})
				l.Drop(now)
			}
		}
	}
	waiting := l.Len()
	if waiting > 64 {
		t.Errorf("%d requests wait, want at most 64", waiting)
	}
	if started := startAll(l, math.MinInt64); len(started) != waiting {
		t.Errorf("%d of %d waiting requests started", len(started), waiting)
	}
}

// The measure is the cost of a request at the daemon that gives the room of a service.
func BenchmarkEnter(b *testing.B) {
	for _, waiting := range []int{300, 1023} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			l := NewLine()
			l.SetRate(1e5)
			entry := func(id uint64) spanrill.LineEntry {
				return spanrill.LineEntry{ID: id, Class: spanrill.Class(id % 4), Account: fmt.Sprint(id % 50), LatestStart: never}
			}
			for id := range waiting {
				l.Enter(1, entry(uint64(id)))
			}
			e := entry(uint64(waiting))
			for b.Loop() {
				l.Enter(1, e)
				l.Remove(e.ID)
			}
		})
	}
}

// Requests that have no room are passed over, and stay in the line. A class of which four are passed
// over has none that starts.
func TestNextPassesOver(t *testing.T) {
	l := NewLine()
	for id := range uint64(6) {
		l.Enter(1000, spanrill.LineEntry{ID: id, Class: 1, LatestStart: 9000 + spanrill.Millis(id)})
	}
	l.Enter(1000, spanrill.LineEntry{ID: 10, Class: 2, LatestStart: 9000})
	skip := map[uint64]bool{}
	for _, want := range []uint64{0, 1, 2, 3, 10} {
		if e, ok := l.Next(1000, skip); !ok || e.ID != want {
			t.Errorf("request %d, %v passing over %v, want %d", e.ID, ok, skip, want)
		}
		skip[want] = true
	}
	if e, ok := l.Next(1000, skip); ok || l.Len() != 7 {
		t.Errorf("request %d passing over %v, want none; %d wait, want 7", e.ID, skip, l.Len())
	}
}
