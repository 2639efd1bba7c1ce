package fleet

import (
	"testing"

	"github.com/pkg/errors"

	"spanrill"
	"spanrill/clock"
)

// Times of an upstream that a daemon was turned away from at 0 and asked for 3 s of rest, as
// in the incident: requests reached it again after 405, 543, 886 and 1,395 ms.
func TestMaySendToAnUpstreamThatRests(t *testing.T) {
	notice := func(ms spanrill.Millis) spanrill.Notice { return spanrill.Notice{Rest: ms} }
	for _, c := range []struct {
		name string
		said map[spanrill.Millis]spanrill.Notice // by time
		at   []spanrill.Millis                   // looks within the rest
		ends spanrill.Millis
	}{
		{"the incident", map[spanrill.Millis]spanrill.Notice{0: notice(3000)}, []spanrill.Millis{405, 543, 886, 1395}, 3000},
		{"a shorter rest later ends nothing", map[spanrill.Millis]spanrill.Notice{0: notice(3000), 200: notice(500)}, []spanrill.Millis{800, 2999}, 3000},
		{"a longer rest later counts", map[spanrill.Millis]spanrill.Notice{0: notice(1000), 200: notice(3000)}, []spanrill.Millis{1500, 3199}, 3200},
		{"words that are no time", map[spanrill.Millis]spanrill.Notice{0: {Unreadable: "soon"}}, []spanrill.Millis{1, 999}, unreadRest},
		{"one of several is no time", map[spanrill.Millis]spanrill.Notice{0: {Rest: 2000, Unreadable: "soon"}}, []spanrill.Millis{1999}, 2000},
		{"a thousand years", map[spanrill.Millis]spanrill.Notice{0: notice(1 << 45)}, []spanrill.Millis{1, longestRest - 1}, longestRest},
		{"no rest", map[spanrill.Millis]spanrill.Notice{0: notice(0)}, nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, clock := newTable(t)
			u, start := table.View().ByID("a"), clock.Now()
			for _, at := range []spanrill.Millis{0, 200} {
				clock.Advance(start + at - clock.Now())
				if n, ok := c.said[at]; ok {
					table.Notice("1:1", n, clock.Now())
				}
			}
			for _, at := range c.at {
				if err := u.MaySend(start + at); !errors.Is(err, ErrRests) {
					t.Errorf("at %d ms: %v, want %v", at, err, ErrRests)
				}
			}
			if err := u.MaySend(start + max(c.ends, 200)); err != nil {
				t.Errorf("after the rest: %v", err)
			}
			if err := table.View().ByID("b").MaySend(start + 1); err != nil {
				t.Errorf("another upstream: %v", err)
			}
		})
	}
}

// noticed is a table in which upstream a, at 1:1, rests for 3 s and has said that it leaves.
func noticed(t *testing.T) (*Table, *clock.Manual) {
	t.Helper()
	table, c := newTable(t)
	table.Notice("1:1", spanrill.Notice{Rest: 3000, Leaving: true}, c.Now())
	return table, c
}

func TestNoticesOutliveEntries(t *testing.T) {
	change := func(id, addr string, revision uint64) spanrill.Change {
		return spanrill.Change{Item: item(t, id, addr, revision, false)}
	}
	for _, c := range []struct {
		name           string
		changes        []spanrill.Change
		id             string // of the upstream that is looked at
		rests, leaving bool
	}{
		{"nothing changes", nil, "a", true, true},
		{"its entry changes and says that it is ready", []spanrill.Change{change("a", "1:1", 7)}, "a", true, true},
		{"its entry goes and comes back", []spanrill.Change{gone("a"), change("a", "1:1", 7)}, "a", true, true},
		{"its entry moves to another address", []spanrill.Change{change("a", "1:9", 7)}, "a", true, true},
		{"another upstream gets its address", []spanrill.Change{gone("a"), change("c", "1:1", 7)}, "c", false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, clock := noticed(t)
			for i, change := range c.changes {
				table.Changed([]spanrill.Change{change}, uint64(6+i), clock.Now())
			}
			u := table.View().ByID(c.id)
			if u == nil {
				t.Fatalf("no upstream %s", c.id)
			}
			if u.Rests(clock.Now()) != c.rests || u.Leaving() != c.leaving {
				t.Errorf("rests %t, leaves %t, want %t, %t", u.Rests(clock.Now()), u.Leaving(), c.rests, c.leaving)
			}
			if got := u.MaySend(clock.Now()) == nil; got != !(c.rests || c.leaving) {
				t.Errorf("may be sent to: %t", got)
			}
		})
	}
}

// Another process under the same name has not said that it leaves. The rest is kept: taking
// one start for two would end it early, and it is over in seconds.
func TestNoticesOfAnotherStart(t *testing.T) {
	table, c := newTable(t)
	table.Notice("1:1", spanrill.Notice{Rest: 3000, Leaving: true}, c.Now())
	table.Reported("1:1", &spanrill.EngineReport{Sequence: 5}, c.Now())
	c.Advance(10)
	table.Reported("1:1", &spanrill.EngineReport{Sequence: 1}, c.Now())
	u := table.View().ByAddr("1:1")
	if u.ID() == "a" {
		t.Fatal("the start was not noticed")
	}
	if u.Leaving() || !u.Rests(c.Now()) {
		t.Errorf("leaves %t, rests %t, want false and true", u.Leaving(), u.Rests(c.Now()))
	}
}

// The same where the entry of the one that leaves had gone long before: the name is not barred
// for good.
func TestNoticesOfAStartAfterItsEntryHadGone(t *testing.T) {
	entry := func(born int64, beats, revision uint64) spanrill.EngineEntry {
		return spanrill.EngineEntry{ID: "a", Service: "s", Addr: "1:1", Born: born, Beats: beats, Revision: revision}
	}
	for _, c := range []struct {
		name        string
		first, then spanrill.EngineEntry
		leaves      bool
	}{
		{"another start is told", entry(100, 9, 1), entry(200, 1, 3), false},
		{"its count has fallen", entry(0, 9, 1), entry(0, 1, 3), false},
		{"it is the same start", entry(100, 9, 1), entry(100, 11, 3), true},
		{"nothing tells of another start", entry(0, 9, 1), entry(0, 11, 3), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			manual := clock.NewManual()
			table := New(manual, decode)
			table.Merge(Knowledge{Entries: []spanrill.EngineEntry{c.first}, At: 1, Change: 1}, 0)
			manual.Advance(100 * spanrill.Second)
			table.Notice("1:1", spanrill.Notice{Leaving: true}, manual.Now())
			table.Merge(Knowledge{At: 2, Change: 2}, manual.Now())
			manual.Advance(2 * departTime)
			table.Merge(Knowledge{Entries: []spanrill.EngineEntry{c.then}, At: 3, Change: 3}, manual.Now())
			if u := table.View().ByAddr("1:1"); u == nil || u.Leaving() != c.leaves {
				t.Errorf("upstream %v, want one that leaves: %t", u, c.leaves)
			}
		})
	}
}

// An answer that was on its way when the address was given to another upstream says nothing
// of that one.
func TestNoticeOfTheUpstreamBefore(t *testing.T) {
	table, c := newTable(t)
	begun := c.Now()
	c.Advance(50)
	table.Changed([]spanrill.Change{gone("a"), {Item: item(t, "c", "1:1", 6, false)}}, 6, c.Now())
	table.Notice("1:1", spanrill.Notice{Rest: 3000, Leaving: true}, begun)
	if u := table.View().ByID("c"); u == nil || u.MaySend(c.Now()) != nil {
		t.Errorf("the upstream that is there now is taken for the one before: %v", u)
	}
	table.Notice("1:1", spanrill.Notice{Rest: 3000}, c.Now())
	if u := table.View().ByID("c"); !u.Rests(c.Now()) {
		t.Error("its own answer is not heard")
	}
}

// Names whose upstreams are gone do not pile up.
func TestNoticesAreBounded(t *testing.T) {
	table, c := newTable(t)
	revision := uint64(10)
	for i := range pastKept + 10 {
		revision++
		id := string(rune('A'+i%26)) + string(rune('0'+i/26%10)) + string(rune(0x100+i))
		table.Changed([]spanrill.Change{{Item: item(t, id, "2:1", revision, false)}}, revision, c.Now())
		table.Notice("2:1", spanrill.Notice{Leaving: true}, c.Now())
		revision++
		table.Changed([]spanrill.Change{gone(id)}, revision, c.Now())
	}
	if n := len(table.noticed); n > pastKept {
		t.Errorf("%d names are kept, at most %d may be", n, pastKept)
	}
}
