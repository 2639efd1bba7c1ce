package fleet

import (
	"encoding/json"
	"testing"

	"spanrill"
	"spanrill/clock"
)

func decode(item spanrill.Item) (spanrill.EngineEntry, error) {
	var e spanrill.EngineEntry
	if err := json.Unmarshal(item.Value, &e); err != nil {
		return e, err
	}
	e.ID, e.Revision = item.Name, item.Revision
	return e, nil
}

func item(t *testing.T, id, addr string, revision uint64, leaving bool) spanrill.Item {
	t.Helper()
	value, err := json.Marshal(spanrill.EngineEntry{Service: "s", Addr: addr, Leaving: leaving})
	if err != nil {
		t.Fatal(err)
	}
	return spanrill.Item{Name: id, Revision: revision, Value: value}
}

func gone(id string) spanrill.Change {
	return spanrill.Change{Item: spanrill.Item{Name: id}, Gone: true}
}

// holdTime is how long a table of newTable keeps an entry that may have lapsed.
const holdTime = defaultDrain - holdMargin

// newTable returns a table with two upstreams, long after any outage.
func newTable(t *testing.T) (*Table, *clock.Manual) {
	t.Helper()
	c := clock.NewManual()
	table := New(c, decode)
	table.Listed([]spanrill.Item{item(t, "a", "1:1", 1, false), item(t, "b", "1:2", 2, false)}, 2, 0)
	return table, c
}

func TestEntryThatGoes(t *testing.T) {
	for _, c := range []struct {
		name   string
		outage spanrill.Millis // before the entry goes, or -1 for none
		proof  spanrill.Millis // age of the last proof that it was there, when it goes
		after  spanrill.Millis // time until the look
		want   bool            // whether the upstream still takes requests
	}{
		{"no outage: it has left", -1, 400, 0, false},
		{"an outage long ago: it has left", outageMemory + 1, outageMemory + 1, 0, false},
		{"an outage: it may come back", 500, 5000, 0, true},
		{"an outage, just before the end of the wait", 500, 5000, holdTime - 1, true},
		{"an outage, and it did not come back", 500, 5000, holdTime, false},
		{"only this daemon had no answer: it may come back", 300, 400, holdTime - 401, true},
		{"only this daemon had no answer: the time counts from the proof", 300, 400, holdTime - 400, false},
		{"the same, where the first in rank were cut off and the proof is older", 300, 1650, holdTime - 1650, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, manual := newTable(t)
			manual.Advance(c.proof - max(0, c.outage))
			if c.outage >= 0 {
				table.NoteOutage()
				manual.Advance(c.outage)
			}
			table.Changed([]spanrill.Change{gone("a")}, 3, manual.Now())
			manual.Advance(c.after)
			table.Tend()
			u := table.View().ByID("a")
			if got := u != nil && u.Takes(); got != c.want {
				t.Fatalf("it takes requests: %t, want %t", got, c.want)
			}
		})
	}
}

// An engine that had said that it leaves is not kept when its entry goes.
func TestLeavingEntryIsNotKept(t *testing.T) {
	table, manual := newTable(t)
	table.Changed([]spanrill.Change{{Item: item(t, "a", "1:1", 3, true)}}, 3, manual.Now())
	table.NoteOutage()
	table.Changed([]spanrill.Change{gone("a")}, 4, manual.Now())
	if table.View().ByID("a") != nil {
		t.Fatal("it is still there")
	}
}

// A daemon whose own reads stand still learns from a peer that an upstream is
// leaving, and older knowledge never replaces newer.
func TestKnowledgeOfPeers(t *testing.T) {
	peer, _ := newTable(t)
	peer.Changed([]spanrill.Change{{Item: item(t, "a", "1:1", 7, true)}}, 7, 0)
	table, manual := newTable(t)
	manual.Advance(1000)
	if table.Prove(7, 7, manual.Now()) {
		t.Fatal("a change that is not known here was proved")
	}
	if !table.Merge(peer.Knowledge(), manual.Now()) || table.View().ByID("a").Takes() {
		t.Fatal("the leaving upstream still takes requests")
	}
	if !table.Prove(9, 7, manual.Now()) {
		t.Fatal("knowledge without later changes was not proved")
	}
	old, _ := newTable(t)
	if table.Merge(old.Knowledge(), manual.Now()) || table.View().ByID("a").Takes() {
		t.Fatal("older knowledge replaced newer")
	}
	table.Changed([]spanrill.Change{{Item: item(t, "a", "1:1", 2, false)}}, 3, manual.Now())
	if table.View().ByID("a").Takes() {
		t.Fatal("an older answer of the store replaced newer knowledge")
	}
}

// What an engine is being ordered to give up gets nothing new before its entry
// shows it, and what it has said after an order goes before its entry.
func TestTargets(t *testing.T) {
	r := func(from, to int) spanrill.LayerRange { return spanrill.LayerRange{From: from, To: to} }
	for _, c := range []struct {
		name   string
		held   spanrill.LayerRange
		target *Target
		want   spanrill.LayerRange
	}{
		{"no order", r(0, 10), nil, r(0, 10)},
		{"shrinks", r(0, 10), &Target{Layers: r(0, 6)}, r(0, 6)},
		{"shifts", r(4, 10), &Target{Layers: r(6, 12)}, r(6, 10)},
		{"moves away", r(0, 4), &Target{Layers: r(6, 12)}, r(0, 0)},
		{"is done", r(0, 4), &Target{Layers: r(6, 12), Done: true}, r(6, 12)},
	} {
		u := newTestUpstream(spanrill.EngineEntry{Layers: c.held}, 0)
		u.SetTarget(c.target)
		if got := u.Layers(); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Refusals in a row keep requests away for longer each time.
func TestRefusalsInARow(t *testing.T) {
	u := newTestUpstream(spanrill.EngineEntry{}, 0)
	var now, last spanrill.Millis
	for range maxRefusals {
		u.Refused(now, false)
		wait := spanrill.Millis(0)
		for u.Avoided(now + wait) {
			wait += 10
		}
		if wait <= last {
			t.Fatalf("kept away for %d ms after %d ms", wait, last)
		}
		last, now = wait, now+wait
	}
	if u.Accepted(now - last - 1); !u.Refusing(now - 1) {
		t.Fatal("a request sent before the last refusal ended the avoidance")
	}
	if u.Accepted(now); u.Refusing(now-1) || u.Avoided(now-1) {
		t.Fatal("it is still avoided after a request was taken")
	}
}

// Streams that run on an engine say nothing of whether it takes new requests.
func TestRunningStreamsDoNotEndARefusal(t *testing.T) {
	u := newTestUpstream(spanrill.EngineEntry{}, 0)
	u.Refused(100, true)
	if u.Worked(110); !u.Avoided(120) {
		t.Fatal("a running stream ended the avoidance")
	}
}

// One that refuses although it has room is left alone for longer at once.
func TestRefusalWithRoom(t *testing.T) {
	u := newTestUpstream(spanrill.EngineEntry{}, 0)
	u.Refused(0, true)
	if !u.Avoided(roomyRefusal-1) || u.Avoided(roomyRefusal) {
		t.Fatal("it is not left alone for roomyRefusal")
	}
}

// What a daemon keeps only because its own calls of the store have failed is not told
// as there: a daemon that the store has answered all the while would take it for
// proved, and send requests to an upstream that has left.
func TestHeldEntriesAreNotTold(t *testing.T) {
	peer, manual := newTable(t)
	peer.NoteOutage()
	peer.Changed([]spanrill.Change{gone("a")}, 3, manual.Now())
	if u := peer.View().ByID("a"); u == nil || !u.Takes() {
		t.Fatal("the entry was not held")
	}
	table, _ := newTable(t)
	if !table.Merge(peer.Knowledge(), 0) || table.View().ByID("a") != nil {
		t.Fatal("the upstream that has left is still there")
	}
	if table.View().ByID("b") == nil {
		t.Fatal("the other upstream is gone")
	}
}

// News that an entry has gone may come late, over several daemons. What counts is when
// the reads were sent that told of it: if the store has answered somebody all the while,
// the entry may not be kept from when it is seen to be gone here.
func TestEntryThatGoesIsToldLate(t *testing.T) {
	table, manual := newTable(t)
	table.NoteOutage()
	manual.Advance(holdTime + 100)
	table.NoteOutage()
	table.Merge(Knowledge{Entries: []spanrill.EngineEntry{{ID: "b", Addr: "1:2"}}, At: 3, Change: 3}, 600)
	table.Tend()
	if u := table.View().ByID("a"); u != nil {
		t.Fatalf("the upstream takes requests %d ms after the last proof", manual.Now())
	}
}

// An answer of the store that was on its way while a peer told more brings nothing back.
func TestOldChangesBringNothingBack(t *testing.T) {
	table, manual := newTable(t)
	table.NoteOutage()
	manual.Advance(1000)
	table.Merge(Knowledge{Entries: []spanrill.EngineEntry{{ID: "b", Addr: "1:2"}}, At: 8, Change: 7}, 900)
	table.Changed([]spanrill.Change{{Item: item(t, "a", "1:1", 5, false)}, gone("a")}, 9, 950)
	manual.Advance(holdTime - 1000)
	table.Tend()
	if table.View().ByID("a") != nil {
		t.Fatal("the upstream is kept from when a later read was sent")
	}
}

// A daemon that has heard nothing for long keeps an entry that is gone as if the store
// had been away, until a peer tells that the store has answered it all the while.
func TestEntryThatGoesUnheard(t *testing.T) {
	const unheard = 4 * spanrill.Second
	for _, c := range []struct {
		name     string
		from, to spanrill.Millis // of what a peer tells
		want     bool            // whether the upstream still takes requests
	}{
		{"a peer was answered all the while", 0, unheard - 10, false},
		{"a peer was answered since the last proof here, and not lately", 0, 1000, true},
		{"a peer was not answered until now", unheard - 200, unheard, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, manual := newTable(t)
			manual.Advance(unheard)
			table.NoteOutage()
			table.Changed([]spanrill.Change{gone("a")}, 3, manual.Now())
			table.Answered(c.from, c.to)
			table.Tend()
			if got := table.View().ByID("a") != nil; got != c.want {
				t.Fatalf("it takes requests: %t, want %t", got, c.want)
			}
		})
	}
}

// An entry that is there again after a gap in the same answer of the store is the same
// upstream, with what runs on it.
func TestEntryThatIsBackAtOnce(t *testing.T) {
	table, manual := newTable(t)
	before := table.View().ByID("a")
	table.Changed([]spanrill.Change{gone("a"), {Item: item(t, "a", "1:1", 5, false)}}, 5, manual.Now())
	if u := table.View().ByID("a"); u != before || !u.Takes() {
		t.Fatal("it was replaced")
	}
}

// Spans with a break between them are not one.
func TestAnsweredSpans(t *testing.T) {
	const pause = spanrill.Second
	for _, c := range []struct {
		name            string
		known, told, is answered
	}{
		{"they overlap", answered{5000, 9000}, answered{2000, 6000}, answered{2000, 9000}},
		{"no break is between them", answered{5000, 9000}, answered{2000, 4001}, answered{2000, 9000}},
		{"the one told is before a break", answered{5000, 9000}, answered{2000, 4000}, answered{5000, 9000}},
		{"the one told is behind a break", answered{5000, 9000}, answered{10_000, 11_000}, answered{10_000, 11_000}},
		{"the one told goes on", answered{5000, 9000}, answered{9999, 11_000}, answered{5000, 11_000}},
		{"nothing was known", answered{neverAnswered, neverAnswered}, answered{9999, 11_000}, answered{9999, 11_000}},
		{"its answer took longer than it lasted", answered{5000, 9000}, answered{10_100, 10_000}, answered{5000, 9000}},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := c.known
			if a.join(c.told, pause); a != c.is {
				t.Fatalf("%v, want %v", a, c.is)
			}
		})
	}
}

// newTestUpstream returns an upstream of a table that knows no other.
func newTestUpstream(e spanrill.EngineEntry, starts int) *Upstream {
	return New(clock.NewManual(), nil).newUpstream(e, starts)
}
