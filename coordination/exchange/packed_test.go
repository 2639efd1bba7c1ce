package exchange

import (
	"fmt"
	"testing"

	"spanrill"
	"spanrill/protocol/peermsg"
	"spanrill/state/fleet"
)

// manyEntries returns the entries of n engines.
func manyEntries(n int) fleet.Update {
	update := fleet.Update{Revision: 9, LastChange: 9}
	for i := range n {
		update.Entries = append(update.Entries, spanrill.EngineEntry{
			ID: fmt.Sprintf("i-%010x", i*7919), Service: "advice", Addr: fmt.Sprintf("10.1.%d.%d:8120", i/250, i%250), Zone: fmt.Sprint("zone-", i%3),
			Kind: "small", Slots: 192, Layers: spanrill.LayerRange{From: i % 70, To: i%70 + 9}, Revision: uint64(1000 + i), WriteCount: uint64(i % 60),
		})
	}
	return update
}

// Entries are encoded once per version, and decode to what was encoded.
func TestEntriesArePackedOnce(t *testing.T) {
	_, here, there, _ := pair(1)
	there.table.Merge(manyEntries(40), 0)
	req := &peermsg.EntriesRequest{}
	first, again := there.exchange.HandleEntriesRequest(req), there.exchange.HandleEntriesRequest(req)
	if &first.Packed[0] != &again.Packed[0] {
		t.Error("entries were encoded twice")
	}
	if err := here.exchange.fetchEntries(t.Context(), peermsg.Member{}); err != nil || len(here.table.FullUpdate().Entries) != 40 {
		t.Fatalf("%d entries received, want 40, error %v", len(here.table.FullUpdate().Entries), err)
	}
	there.table.Merge(fleet.Update{Entries: manyEntries(39).Entries, Revision: 10, LastChange: 10}, 0)
	if err := here.exchange.fetchEntries(t.Context(), peermsg.Member{}); err != nil || len(here.table.FullUpdate().Entries) != 39 {
		t.Fatalf("%d entries received after a change, want 39, error %v", len(here.table.FullUpdate().Entries), err)
	}
}

// A peer that knows all entries receives a single change alone, not all 2,922 entries in 66 KB.
func TestSingleChangeIsSentAlone(t *testing.T) {
	c, here, there, _ := pair(1)
	update := manyEntries(2922)
	update.Revision, update.LastChange = 5000, 5000
	there.table.Merge(update, c.Now())
	ask := func() *peermsg.Entries {
		return there.exchange.HandleEntriesRequest(&peermsg.EntriesRequest{Since: here.table.Revision()})
	}
	allSize := len(ask().Packed)
	if err := here.exchange.fetchEntries(t.Context(), peermsg.Member{}); err != nil {
		t.Fatal(err)
	}
	update.Entries[7].Layers, update.Entries[7].Revision = spanrill.LayerRange{From: 40, To: 44}, 5001
	there.table.Merge(fleet.Update{Entries: update.Entries[7:8], Revision: 5001, LastChange: 5001, Since: 5000, Removed: []string{update.Entries[9].ID}}, c.Now())
	if changeSize := len(ask().Packed); changeSize > 200 {
		t.Errorf("one change takes %d bytes, want at most 200; all entries take %d", changeSize, allSize)
	}
	if err := here.exchange.fetchEntries(t.Context(), peermsg.Member{}); err != nil {
		t.Fatal(err)
	}
	view := here.table.View()
	if u := view.ByID(update.Entries[7].ID); u.Layers() != update.Entries[7].Layers || view.ByID(update.Entries[9].ID) != nil || len(view.ByService("advice")) != 2921 {
		t.Errorf("layers %v, %d upstreams; want the changed layers, and 2921 upstreams without the removed one", u.Layers(), len(view.ByService("advice")))
	}
}

// BenchmarkEntries compares an answer with 1,001 entries that is encoded for each request with
// one that is encoded once.
func BenchmarkEntries(b *testing.B) {
	_, _, there, _ := pair(1)
	there.table.Merge(manyEntries(1001), 0)
	b.Run("encoded each time", func(b *testing.B) {
		for b.Loop() {
			update := there.table.FullUpdate()
			data, _ := peermsg.Encode(&peermsg.EntryList{Entries: update.Entries})
			b.ReportMetric(float64(len(data)), "bytes")
		}
	})
	b.Run("packed", func(b *testing.B) {
		for b.Loop() {
			b.ReportMetric(float64(len(there.exchange.HandleEntriesRequest(&peermsg.EntriesRequest{}).Packed)), "bytes")
		}
	})
}
