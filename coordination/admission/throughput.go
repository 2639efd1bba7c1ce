package admission

import (
	"math"

	"spanrill"
)

// throughput measures the rate of ended requests.
type throughput struct {
	ends  rate
	since spanrill.Millis // time of the first end
	known bool            // whether a request has ended
}

const (
	// minThroughputTime is how long ends are measured before a rate is known.
	minThroughputTime = spanrill.Second
	// forgottenThroughput is the rate below which earlier ends are disregarded, in requests per
	// second.
	forgottenThroughput = 0.01
)

// recordEnd records that a request has ended.
func (t *throughput) recordEnd(now spanrill.Millis) {
	if !t.known || t.ends.valueAt(now) < forgottenThroughput {
		t.since, t.known = now, true
	}
	t.ends.add(now)
}

// perSecond returns the rate, or 0 while it is unknown. A rate that has been measured for a short
// time is extrapolated.
func (t *throughput) perSecond(now spanrill.Millis) float64 {
	age := now - t.since
	if !t.known || age < minThroughputTime {
		return 0
	}
	return t.ends.valueAt(now) / (1 - math.Exp2(-float64(age)/float64(rateHalfLife)))
}
