package granting

import (
	"strconv"
	"testing"

	"spanrill"
	"spanrill/protocol/peermsg"
)

// BenchmarkRequest measures a request and the report of its end, with 100 chains, 20 daemons and 1000
// running requests, each with and without grants ahead of need.
func BenchmarkRequest(b *testing.B) {
	for _, c := range []struct {
		name string
		opts []RoomOption
	}{{"ahead", nil}, {"without", noAhead()}} {
		b.Run(c.name, func(b *testing.B) {
			parts, _ := fakeParts()
			room := NewRoom("s", parts, c.opts...)
			capacities := make([]float64, 100)
			for i := range capacities {
				capacities[i] = 2000
			}
			now := spanrill.Millis(1000)
			room.Tick(now)
			now += cautiousTime
			room.SetChains(now, chainsOf(capacities...))
			room.Tick(now)
			b.ReportAllocs()
			id := uint64(0)
			for b.Loop() {
				id++
				now++ // a thousand requests a second
				daemon := "d" + strconv.Itoa(int(id%20))
				req := roomRequest(daemon, id)
				room.Request(now, req)
				if id > 1000 {
					room.Report(now, &peermsg.RoomReport{Daemon: daemon, Ended: []uint64{id - 1000}})
				}
				if now%50 == 0 {
					room.Tick(now)
				}
			}
			b.ReportMetric(float64(room.Len()), "claims")
		})
	}
}
