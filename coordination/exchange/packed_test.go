package exchange

import (
	"fmt"
	"testing"

	"spanrill"
	"spanrill/protocol/peermsg"
	"spanrill/state/fleet"
)

// manyEntries are entries of as many engines.
func manyEntries(n int) fleet.Knowledge {
	k := fleet.Knowledge{At: 9, Change: 9}
	for i := range n {
		k.Entries = append(k.Entries, spanrill.EngineEntry{
			ID: fmt.Sprintf("i-%010x", i*7919), Service: "advice", Addr: fmt.Sprintf("10.1.%d.%d:8120", i/250, i%250), Zone: fmt.Sprint("zone-", i%3),
			Kind: "small", Slots: 192, Layers: spanrill.LayerRange{From: i % 70, To: i%70 + 9}, Revision: uint64(1000 + i), Beats: uint64(i % 60),
		})
	}
	return k
}

// Entries are encoded once for each version, and arrive as they were.
func TestEntriesArePackedOnce(t *testing.T) {
	_, here, there, _ := pair(1)
	there.table.Merge(manyEntries(40), 0)
	first, again := there.exchange.Entries(), there.exchange.Entries()
	if &first.Packed[0] != &again.Packed[0] {
		t.Error("they were encoded twice")
	}
	if err := here.exchange.fetchEntries(t.Context(), peermsg.Member{}); err != nil || len(here.table.Knowledge().Entries) != 40 {
		t.Fatalf("%d entries arrived, error %v", len(here.table.Knowledge().Entries), err)
	}
	there.table.Merge(fleet.Knowledge{Entries: manyEntries(39).Entries, At: 10, Change: 10}, 0)
	if err := here.exchange.fetchEntries(t.Context(), peermsg.Member{}); err != nil || len(here.table.Knowledge().Entries) != 39 {
		t.Fatalf("%d entries arrived after a change, error %v", len(here.table.Knowledge().Entries), err)
	}
}

// One answer with 1,001 entries: before, encoded for each that asks; now, once.
func BenchmarkEntries(b *testing.B) {
	_, _, there, _ := pair(1)
	there.table.Merge(manyEntries(1001), 0)
	b.Run("encoded each time", func(b *testing.B) {
		for b.Loop() {
			k := there.table.Knowledge()
			data, _ := peermsg.Encode(&peermsg.EntryList{Entries: k.Entries})
			b.ReportMetric(float64(len(data)), "bytes")
		}
	})
	b.Run("packed", func(b *testing.B) {
		for b.Loop() {
			b.ReportMetric(float64(len(there.exchange.Entries().Packed)), "bytes")
		}
	})
}
