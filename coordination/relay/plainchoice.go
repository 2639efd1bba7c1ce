package relay

import (
	"spanrill"
	"spanrill/state/fleet"
)

// pickPlain returns the untried upstream with the lowest score, or nil. Upstreams that rest are
// excluded even though they are idle: an upstream that rejects all requests has the lowest load.
func (q *request) pickPlain(tried map[string]bool) *fleet.Upstream {
	now := q.relay.Clock.Now()
	var best *fleet.Upstream
	bestScore := 0.0
	for _, u := range q.relay.Fleet.View().ByService(q.service.Name) {
		if tried[u.ID()] || u.CheckSend(now) != nil {
			continue
		}
		score := q.plainScore(u, now)
		if best == nil || score < bestScore {
			best, bestScore = u, score
		}
	}
	return best
}

// Weights of plainScore, in concurrent requests.
const (
	avoidedWeight   = 50.0
	failureWeight   = 12.0
	otherZoneWeight = 0.4
	tieWeight       = 0.2
)

// plainScore returns the load of an upstream plus penalties. Lower is better.
func (q *request) plainScore(u *fleet.Upstream, now spanrill.Millis) float64 {
	score := float64(u.Calls()) + failureWeight*u.FailureRate(now) + tieWeight*q.relay.Random.Float64()
	if u.Avoided(now) || u.Dead() {
		score += avoidedWeight
	}
	if u.Zone() != q.relay.options.Zone {
		score += otherZoneWeight
	}
	return score
}
