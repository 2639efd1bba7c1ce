package relay

import (
	"spanrill"
	"spanrill/state/fleet"
)

// pickPlain returns the upstream with the least to do and the fewest failures
// that was not tried yet, or nil. One that rests is none, however little it has to do: an
// upstream that rejects all has the least.
func (q *request) pickPlain(tried map[string]bool) *fleet.Upstream {
	now := q.relay.Clock.Now()
	var best *fleet.Upstream
	bestScore := 0.0
	for _, u := range q.relay.Fleet.View().Of(q.service.Name) {
		if tried[u.ID()] || u.MaySend(now) != nil {
			continue
		}
		score := q.plainScore(u, now)
		if best == nil || score < bestScore {
			best, bestScore = u, score
		}
	}
	return best
}

// Weights of plainScore, in requests that run at once.
const (
	avoidedWeight   = 50.0
	failureWeight   = 12.0
	otherZoneWeight = 0.4
	tieWeight       = 0.2
)

func (q *request) plainScore(u *fleet.Upstream, now spanrill.Millis) float64 {
	score := float64(u.Calls()) + failureWeight*u.Risk(now) + tieWeight*q.relay.Random.Float64()
	if u.Avoided(now) || u.Dead() {
		score += avoidedWeight
	}
	if u.Zone() != q.relay.bounds.Zone {
		score += otherZoneWeight
	}
	return score
}
