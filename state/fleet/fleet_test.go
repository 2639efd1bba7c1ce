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

func removal(id string) spanrill.Change {
	return spanrill.Change{Item: spanrill.Item{Name: id}, Deleted: true}
}

// holdTime is how long a table of newTable holds an entry that may have expired.
const holdTime = defaultDrainTime - drainHoldMargin

// newTable returns a table with the upstreams a and b, long after any outage.
func newTable(t *testing.T) (*Table, *clock.Manual) {
	t.Helper()
	c := clock.NewManual()
	table := New(c, decode)
	table.HandleList([]spanrill.Item{item(t, "a", "1:1", 1, false), item(t, "b", "1:2", 2, false)}, 2, 0)
	return table, c
}

func TestRemovedEntry(t *testing.T) {
	for _, c := range []struct {
		name         string
		outage       spanrill.Millis // time from the last failed call to the store to the removal, or -1 for none
		confirmedAge spanrill.Millis // age of the last confirmation of the entry at the removal
		after        spanrill.Millis // time from the removal to the check
		want         bool            // whether the upstream still accepts requests
	}{
		{"no outage: it has left", -1, 400, 0, false},
		{"an outage long ago: it has left", storeFailureMemory + 1, storeFailureMemory + 1, 0, false},
		{"an outage: it may come back", 500, 5000, 0, true},
		{"an outage, just before the end of the hold time", 500, 5000, holdTime - 1, true},
		{"an outage, and it did not come back", 500, 5000, holdTime, false},
		{"only this daemon had no answer: it may come back", 300, 400, holdTime - 401, true},
		{"only this daemon had no answer: the time counts from the confirmation", 300, 400, holdTime - 400, false},
		{"only this daemon had no answer: an older confirmation, as when the first daemons in rank are cut off", 300, 1650, holdTime - 1650, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, manual := newTable(t)
			manual.Advance(c.confirmedAge - max(0, c.outage))
			if c.outage >= 0 {
				table.RecordStoreFailure()
				manual.Advance(c.outage)
			}
			table.HandleChanges([]spanrill.Change{removal("a")}, 3, manual.Now())
			manual.Advance(c.after)
			table.Maintain()
			u := table.View().ByID("a")
			if got := u != nil && u.AcceptsRequests(); got != c.want {
				t.Fatalf("accepts requests: %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against holding the removed entry of an engine whose entry announced that it is
// leaving.
func TestLeavingEntryIsNotHeld(t *testing.T) {
	table, manual := newTable(t)
	table.HandleChanges([]spanrill.Change{{Item: item(t, "a", "1:1", 3, true)}}, 3, manual.Now())
	table.RecordStoreFailure()
	table.HandleChanges([]spanrill.Change{removal("a")}, 4, manual.Now())
	if table.View().ByID("a") != nil {
		t.Fatal("the leaving upstream is still in the view")
	}
}

// Guards against a daemon that gets no answers from the store itself and doesn't learn from a peer
// that an upstream is leaving, and against older updates that replace newer ones.
func TestMergeFromPeers(t *testing.T) {
	peer, _ := newTable(t)
	peer.HandleChanges([]spanrill.Change{{Item: item(t, "a", "1:1", 7, true)}}, 7, 0)
	table, manual := newTable(t)
	manual.Advance(1000)
	if table.ConfirmUnchanged(7, 7, manual.Now()) {
		t.Fatal("a change that is not known here was confirmed")
	}
	if !table.Merge(peer.FullUpdate(), manual.Now()) || table.View().ByID("a").AcceptsRequests() {
		t.Fatal("the leaving upstream still accepts requests")
	}
	if !table.ConfirmUnchanged(9, 7, manual.Now()) {
		t.Fatal("a revision without later changes was not confirmed")
	}
	old, _ := newTable(t)
	if table.Merge(old.FullUpdate(), manual.Now()) || table.View().ByID("a").AcceptsRequests() {
		t.Fatal("an older update replaced a newer one")
	}
	table.HandleChanges([]spanrill.Change{{Item: item(t, "a", "1:1", 2, false)}}, 3, manual.Now())
	if table.View().ByID("a").AcceptsRequests() {
		t.Fatal("an older answer of the store replaced a newer update")
	}
}

// Guards against requests for layers that an engine is ordered to give up, and against ignoring an
// engine's confirmation of an order until its entry changes.
func TestLayersUnderTarget(t *testing.T) {
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

// Guards against a wait that doesn't grow with consecutive refusals, and against ending the wait when
// a request is accepted that was sent before the last refusal.
func TestConsecutiveRefusals(t *testing.T) {
	u := newTestUpstream(spanrill.EngineEntry{}, 0)
	var now, last spanrill.Millis
	for range maxCountedRefusals {
		u.RecordRefusal(now, false)
		wait := spanrill.Millis(0)
		for u.Avoided(now + wait) {
			wait += 10
		}
		if wait <= last {
			t.Fatalf("wait of %d ms after one of %d ms, want a longer one", wait, last)
		}
		last, now = wait, now+wait
	}
	if u.RecordAccepted(now - last - 1); !u.RefusesPersistently(now - 1) {
		t.Fatal("a request sent before the last refusal ended the avoidance")
	}
	if u.RecordAccepted(now); u.RefusesPersistently(now-1) || u.Avoided(now-1) {
		t.Fatal("the upstream is still avoided after it accepted a request")
	}
}

// Guards against ending the avoidance of an engine that refuses new requests because of the output
// of its running streams.
func TestProgressDoesNotEndRefusal(t *testing.T) {
	u := newTestUpstream(spanrill.EngineEntry{}, 0)
	u.RecordRefusal(100, true)
	if u.RecordProgress(110); !u.Avoided(120) {
		t.Fatal("a running stream ended the avoidance")
	}
}

// Guards against a short first wait for an upstream that refuses although it has room.
func TestRefusalWithRoom(t *testing.T) {
	u := newTestUpstream(spanrill.EngineEntry{}, 0)
	u.RecordRefusal(0, true)
	if !u.Avoided(refusalWithRoomWait-1) || u.Avoided(refusalWithRoomWait) {
		t.Fatal("the upstream is not avoided for exactly refusalWithRoomWait")
	}
}

// Guards against sending held entries to peers. A peer whose calls to the store succeeded throughout
// would take them for confirmed and send requests to an upstream that has left.
func TestHeldEntriesAreNotSentToPeers(t *testing.T) {
	peer, manual := newTable(t)
	peer.RecordStoreFailure()
	peer.HandleChanges([]spanrill.Change{removal("a")}, 3, manual.Now())
	if u := peer.View().ByID("a"); u == nil || !u.AcceptsRequests() {
		t.Fatal("the entry was not held")
	}
	table, _ := newTable(t)
	if !table.Merge(peer.FullUpdate(), 0) || table.View().ByID("a") != nil {
		t.Fatal("the upstream that has left is still in the view")
	}
	if table.View().ByID("b") == nil {
		t.Fatal("the other upstream was removed")
	}
}

// Guards against counting the hold time from when the removal of an entry becomes known here. The
// removal may become known late, via several daemons; if the store answered one of them throughout,
// the time counts from the last confirmation.
func TestRemovalLearnedLate(t *testing.T) {
	table, manual := newTable(t)
	table.RecordStoreFailure()
	manual.Advance(holdTime + 100)
	table.RecordStoreFailure()
	table.Merge(Update{Entries: []spanrill.EngineEntry{{ID: "b", Addr: "1:2"}}, Revision: 3, LastChange: 3}, 600)
	table.Maintain()
	if u := table.View().ByID("a"); u != nil {
		t.Fatalf("the upstream accepts requests %d ms after the last confirmation", manual.Now())
	}
}

// Guards against holding an entry again because of an answer of the store that arrives after a newer
// update from a peer.
func TestOldChangesRestoreNothing(t *testing.T) {
	table, manual := newTable(t)
	table.RecordStoreFailure()
	manual.Advance(1000)
	table.Merge(Update{Entries: []spanrill.EngineEntry{{ID: "b", Addr: "1:2"}}, Revision: 8, LastChange: 7}, 900)
	table.HandleChanges([]spanrill.Change{{Item: item(t, "a", "1:1", 5, false)}, removal("a")}, 9, 950)
	manual.Advance(holdTime - 1000)
	table.Maintain()
	if table.View().ByID("a") != nil {
		t.Fatal("the hold time counts from when a later read was sent")
	}
}

// Guards against the wrong start of the hold time on a daemon whose entries were not confirmed for
// long. It holds a removed entry as after an outage of the store, unless a peer reports that the store
// answered it throughout.
func TestRemovalAfterLongSilence(t *testing.T) {
	const unconfirmed = 4 * spanrill.Second
	for _, c := range []struct {
		name     string
		from, to spanrill.Millis // period in which the store answered a peer
		want     bool            // whether the upstream is still in the view
	}{
		{"the store answered a peer throughout", 0, unconfirmed - 10, false},
		{"the store answered a peer after the last confirmation here, but not recently", 0, 1000, true},
		{"the store answered a peer only recently", unconfirmed - 200, unconfirmed, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, manual := newTable(t)
			manual.Advance(unconfirmed)
			table.RecordStoreFailure()
			table.HandleChanges([]spanrill.Change{removal("a")}, 3, manual.Now())
			table.RecordStoreAvailable(c.from, c.to)
			table.Maintain()
			if got := table.View().ByID("a") != nil; got != c.want {
				t.Fatalf("in the view: %t, want %t", got, c.want)
			}
		})
	}
}

// Guards against replacing an upstream whose entry was removed and written again within the same
// answer of the store: its running requests continue.
func TestEntryRewrittenInSameRead(t *testing.T) {
	table, manual := newTable(t)
	before := table.View().ByID("a")
	table.HandleChanges([]spanrill.Change{removal("a"), {Item: item(t, "a", "1:1", 5, false)}}, 5, manual.Now())
	if u := table.View().ByID("a"); u != before || !u.AcceptsRequests() {
		t.Fatal("the upstream was replaced, or accepts no requests")
	}
}

// Guards against merging spans that have a break between them.
func TestMergeAvailableSpans(t *testing.T) {
	const pause = spanrill.Second
	for _, c := range []struct {
		name                  string
		known, reported, want availableSpan
	}{
		{"overlapping", availableSpan{5000, 9000}, availableSpan{2000, 6000}, availableSpan{2000, 9000}},
		{"gap shorter than a break", availableSpan{5000, 9000}, availableSpan{2000, 4001}, availableSpan{2000, 9000}},
		{"reported span before a break", availableSpan{5000, 9000}, availableSpan{2000, 4000}, availableSpan{5000, 9000}},
		{"reported span after a break", availableSpan{5000, 9000}, availableSpan{10_000, 11_000}, availableSpan{10_000, 11_000}},
		{"reported span extends the known one", availableSpan{5000, 9000}, availableSpan{9999, 11_000}, availableSpan{5000, 11_000}},
		{"no known span", availableSpan{spanrill.Never, spanrill.Never}, availableSpan{9999, 11_000}, availableSpan{9999, 11_000}},
		{"reported span ends before it begins, after a slow answer", availableSpan{5000, 9000}, availableSpan{10_100, 10_000}, availableSpan{5000, 9000}},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := c.known
			if a.merge(c.reported, pause); a != c.want {
				t.Fatalf("merged span %v, want %v", a, c.want)
			}
		})
	}
}

// newTestUpstream returns an upstream of an otherwise empty table.
func newTestUpstream(e spanrill.EngineEntry, restarts int) *Upstream {
	return New(clock.NewManual(), nil).newUpstream(e, restarts)
}

// Guards against a daemon that has just started and takes entries that a peer confirmed before that
// start for entries confirmed at the start.
func TestAgeOfEntriesConfirmedBeforeTheStart(t *testing.T) {
	manual := clock.NewManual()
	table := New(manual, nil)
	manual.Advance(100)
	table.Merge(Update{Revision: 7, LastChange: 7}, -3900)
	if _, _, age := table.Freshness(); age != 4000 {
		t.Fatalf("the age is %d ms, want 4000", age)
	}
}
