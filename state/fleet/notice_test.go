package fleet

import (
	"testing"

	"github.com/pkg/errors"

	"spanrill"
	"spanrill/clock"
)

// Guards against requests to an upstream during its rest. In an incident, an upstream refused a
// request and asked for 3 s of rest, and requests reached it again after 405, 543, 886 and 1,395 ms.
func TestCheckSendDuringRest(t *testing.T) {
	notice := func(ms spanrill.Millis) spanrill.Notice { return spanrill.Notice{Rest: ms} }
	for _, c := range []struct {
		name       string
		notices    map[spanrill.Millis]spanrill.Notice // by time
		duringRest []spanrill.Millis                   // times within the rest
		restEnd    spanrill.Millis                     // end of the rest
	}{
		{"the incident", map[spanrill.Millis]spanrill.Notice{0: notice(3000)}, []spanrill.Millis{405, 543, 886, 1395}, 3000},
		{"a shorter rest later changes nothing", map[spanrill.Millis]spanrill.Notice{0: notice(3000), 200: notice(500)}, []spanrill.Millis{800, 2999}, 3000},
		{"a longer rest later applies", map[spanrill.Millis]spanrill.Notice{0: notice(1000), 200: notice(3000)}, []spanrill.Millis{1500, 3199}, 3200},
		{"an invalid time", map[spanrill.Millis]spanrill.Notice{0: {UnreadableRest: "soon"}}, []spanrill.Millis{1, 999}, unreadableRestTime},
		{"a valid and an invalid time", map[spanrill.Millis]spanrill.Notice{0: {Rest: 2000, UnreadableRest: "soon"}}, []spanrill.Millis{1999}, 2000},
		{"a thousand years", map[spanrill.Millis]spanrill.Notice{0: notice(1 << 45)}, []spanrill.Millis{1, maxRestTime - 1}, maxRestTime},
		{"no rest", map[spanrill.Millis]spanrill.Notice{0: notice(0)}, nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, clock := newTable(t)
			u, start := table.View().ByID("a"), clock.Now()
			for _, at := range []spanrill.Millis{0, 200} {
				clock.Advance(start + at - clock.Now())
				if n, ok := c.notices[at]; ok {
					table.HandleNotice("1:1", n, clock.Now())
				}
			}
			for _, at := range c.duringRest {
				if err := u.CheckSend(start + at); !errors.Is(err, ErrResting) {
					t.Errorf("CheckSend at %d ms: %v, want %v", at, err, ErrResting)
				}
			}
			if err := u.CheckSend(start + max(c.restEnd, 200)); err != nil {
				t.Errorf("CheckSend after the rest: %v, want nil", err)
			}
			if err := table.View().ByID("b").CheckSend(start + 1); err != nil {
				t.Errorf("CheckSend of another upstream: %v, want nil", err)
			}
		})
	}
}

// noticedTable returns a table in which upstream a, at 1:1, rests for 3 s and has announced that it is
// leaving.
func noticedTable(t *testing.T) (*Table, *clock.Manual) {
	t.Helper()
	table, c := newTable(t)
	table.HandleNotice("1:1", spanrill.Notice{Rest: 3000, Leaving: true}, c.Now())
	return table, c
}

// Guards against losing notices when the upstream's entry changes, and against applying them to
// another upstream at the same address.
func TestNoticesOutliveEntries(t *testing.T) {
	change := func(id, addr string, revision uint64) spanrill.Change {
		return spanrill.Change{Item: item(t, id, addr, revision, false)}
	}
	for _, c := range []struct {
		name                     string
		changes                  []spanrill.Change
		id                       string // of the checked upstream
		wantResting, wantLeaving bool
	}{
		{"nothing changes", nil, "a", true, true},
		{"its entry changes and isn't leaving", []spanrill.Change{change("a", "1:1", 7)}, "a", true, true},
		{"its entry is removed and written again", []spanrill.Change{removal("a"), change("a", "1:1", 7)}, "a", true, true},
		{"its entry gets another address", []spanrill.Change{change("a", "1:9", 7)}, "a", true, true},
		{"another upstream gets its address", []spanrill.Change{removal("a"), change("c", "1:1", 7)}, "c", false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, clock := noticedTable(t)
			for i, change := range c.changes {
				table.HandleChanges([]spanrill.Change{change}, uint64(6+i), clock.Now())
			}
			u := table.View().ByID(c.id)
			if u == nil {
				t.Fatalf("no upstream %s", c.id)
			}
			if u.Resting(clock.Now()) != c.wantResting || u.Leaving() != c.wantLeaving {
				t.Errorf("resting %t, leaving %t, want %t, %t", u.Resting(clock.Now()), u.Leaving(), c.wantResting, c.wantLeaving)
			}
			if got := u.CheckSend(clock.Now()) == nil; got != !(c.wantResting || c.wantLeaving) {
				t.Errorf("requests may be sent: %t, want the opposite", got)
			}
		})
	}
}

// Guards against applying an announcement to leave to the next process of the same name. The rest
// is kept: a restart detected by mistake would otherwise end it early, and it is over in seconds.
func TestNoticesAfterRestart(t *testing.T) {
	table, c := newTable(t)
	table.HandleNotice("1:1", spanrill.Notice{Rest: 3000, Leaving: true}, c.Now())
	table.HandleReport("1:1", &spanrill.EngineReport{Sequence: 5}, c.Now())
	c.Advance(10)
	table.HandleReport("1:1", &spanrill.EngineReport{Sequence: 1}, c.Now())
	u := table.View().ByAddr("1:1")
	if u.ID() == "a" {
		t.Fatal("the restart was not detected")
	}
	if u.Leaving() || !u.Resting(c.Now()) {
		t.Errorf("leaving %t, resting %t, want false and true", u.Leaving(), u.Resting(c.Now()))
	}
}

// Guards against excluding a name forever if its upstream announced that it is leaving and restarts
// long after its entry was removed.
func TestNoticesAfterRestartOfRemovedUpstream(t *testing.T) {
	entry := func(startedAt int64, writeCount, revision uint64) spanrill.EngineEntry {
		return spanrill.EngineEntry{ID: "a", Service: "s", Addr: "1:1", StartedAt: startedAt, WriteCount: writeCount, Revision: revision}
	}
	for _, c := range []struct {
		name          string
		first, second spanrill.EngineEntry
		wantLeaving   bool
	}{
		{"another start time", entry(100, 9, 1), entry(200, 1, 3), false},
		{"no start time, lower write count", entry(0, 9, 1), entry(0, 1, 3), false},
		{"the same start time", entry(100, 9, 1), entry(100, 11, 3), true},
		{"no start time, higher write count", entry(0, 9, 1), entry(0, 11, 3), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			manual := clock.NewManual()
			table := New(manual, decode)
			table.Merge(Update{Entries: []spanrill.EngineEntry{c.first}, Revision: 1, LastChange: 1}, 0)
			manual.Advance(100 * spanrill.Second)
			table.HandleNotice("1:1", spanrill.Notice{Leaving: true}, manual.Now())
			table.Merge(Update{Revision: 2, LastChange: 2}, manual.Now())
			manual.Advance(2 * serveAfterRemoval)
			table.Merge(Update{Entries: []spanrill.EngineEntry{c.second}, Revision: 3, LastChange: 3}, manual.Now())
			if u := table.View().ByAddr("1:1"); u == nil || u.Leaving() != c.wantLeaving {
				t.Errorf("upstream %v, want one with leaving %t", u, c.wantLeaving)
			}
		})
	}
}

// Guards against applying the notice of an answer that was under way when another upstream got the
// address.
func TestNoticeOfPreviousUpstream(t *testing.T) {
	table, c := newTable(t)
	callStart := c.Now()
	c.Advance(50)
	table.HandleChanges([]spanrill.Change{removal("a"), {Item: item(t, "c", "1:1", 6, false)}}, 6, c.Now())
	table.HandleNotice("1:1", spanrill.Notice{Rest: 3000, Leaving: true}, callStart)
	if u := table.View().ByID("c"); u == nil || u.CheckSend(c.Now()) != nil {
		t.Errorf("the notice of the previous upstream applies to the current one: %v", u)
	}
	table.HandleNotice("1:1", spanrill.Notice{Rest: 3000}, c.Now())
	if u := table.View().ByID("c"); !u.Resting(c.Now()) {
		t.Error("the notice of the current upstream was ignored")
	}
}

// Guards against unbounded memory for notices of removed upstreams.
func TestNoticesAreBounded(t *testing.T) {
	table, c := newTable(t)
	revision := uint64(10)
	for i := range maxRememberedNames + 10 {
		revision++
		id := string(rune('A'+i%26)) + string(rune('0'+i/26%10)) + string(rune(0x100+i))
		table.HandleChanges([]spanrill.Change{{Item: item(t, id, "2:1", revision, false)}}, revision, c.Now())
		table.HandleNotice("2:1", spanrill.Notice{Leaving: true}, c.Now())
		revision++
		table.HandleChanges([]spanrill.Change{removal(id)}, revision, c.Now())
	}
	if n := len(table.noticesByName); n > maxRememberedNames {
		t.Errorf("notices of %d names, want at most %d", n, maxRememberedNames)
	}
}
