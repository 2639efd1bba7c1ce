package room

import (
	"math"

	"spanrill"
)

// rateMillis is the time over which a rate is averaged: long enough for tens of requests, short
// enough to follow a burst.
const rateMillis = float64(spanrill.Second)

// rate is an exponentially weighted average of events per second.
type rate struct {
	weight float64 // of past events, as of at
	at     spanrill.Millis
}

// add counts an event.
func (r *rate) add(now spanrill.Millis) {
	r.weight, r.at = r.current(now)+1, max(now, r.at)
}

// perSecond returns the rate.
func (r *rate) perSecond(now spanrill.Millis) float64 {
	return r.current(now) * float64(spanrill.Second) / rateMillis
}

func (r *rate) current(now spanrill.Millis) float64 {
	return r.weight * math.Exp(-float64(max(0, now-r.at))/rateMillis)
}
