package room_test

import (
	"testing"

	"spanrill"
)

func BenchmarkGive(b *testing.B) {
	for name, chains := range map[string]int{"16 chains": 16, "300 chains": 300} {
		b.Run(name, func(b *testing.B) {
			var all []spanrill.RoomChain
			for i := range chains {
				all = append(all, testChain(kind{12, 100_000, 0.03, 10, 0.1}, uint32(1+100*i), "a", 192))
			}
			l := newLedger(all...)
			running := uint64(60 * chains)
			b.ReportAllocs()
			for id := range uint64(b.N) {
				now := start + spanrill.Millis(id/10)
				l.Give(now, id, thousand)
				if id >= running {
					l.End(now, id-running)
				}
			}
		})
	}
}
