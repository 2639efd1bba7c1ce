package granting

import (
	"testing"

	"spanrill"
	"spanrill/coordination/admission"
	"spanrill/coordination/room"
	"spanrill/protocol/peermsg"
)

// BenchmarkFullChains measures the end of a request while 1,000 requests of three classes wait, of which
// none fits into the room that comes free.
func BenchmarkFullChains(b *testing.B) {
	parts, _ := fakeParts()
	parts.NewLine = func() spanrill.StartLine { return admission.NewLine() }
	parts.NewLedger = func() spanrill.RoomLedger { return room.NewLedger() }
	r := NewRoom("s", parts, WithoutAhead())
	var chains []spanrill.RoomChain
	for i := range uint32(16) {
		c := spanrill.RoomChain{}
		for j := range uint32(12) {
			c.Parts = append(c.Parts, spanrill.RoomPart{Engine: 1 + 100*i + j, Capacity: 100_000, Share: 1})
		}
		chains = append(chains, c)
	}
	now := spanrill.Millis(1000)
	r.SetChains(now, chains)
	for ; now < 1000+2*cautiousTime; now += advanceInterval {
		r.Tick(now)
	}
	id := uint64(0)
	for range 16 * 100_000 / 1000 {
		id++
		req := roomRequest("a", id)
		req.Prompt = 1000
		r.Request(now, req)
	}
	for range 1000 {
		id++
		req := roomRequest("a", id)
		req.Prompt, req.Class, req.MaxWait = 50_000, int(id%3), 500_000
		r.Request(now, req)
	}
	b.ReportMetric(float64(r.Waiting()), "waiting")
	b.ReportAllocs()
	for b.Loop() {
		r.freed = true
		r.Report(now, &peermsg.RoomReport{Daemon: "a"})
	}
}
