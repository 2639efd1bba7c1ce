package chainrouting

import (
	"github.com/pkg/errors"

	"spanrill"
	"spanrill/coordination/chain"
	"spanrill/coordination/cost"
	"spanrill/state/fleet"
)

// search is the state of the search for one request's path.
type search struct {
	view         *fleet.View
	service      string
	model        *spanrill.EngineModel
	need         Need
	now          spanrill.Millis
	bridgeErr    error // why a hole could not be bridged; ErrNoRoom takes precedence
	pipes        *pipes
	staleness    float64        // how stale the load figures of other daemons are, from 0 to 1
	random       func() float64 // from 0 to 1, to choose among equal engines; nil takes the emptiest
	lenient      bool           // allow engines that are avoided only because they have recently failed a request
	zone         string         // if not "", bridges use engines of this availability zone only
	foundLimited bool           // an engine with layer 0 was skipped because its rate limit is exhausted
	foundResting bool           // an engine with layer 0 was skipped because it rests
}

// usable reports whether the request may run on an engine, first or later in the path.
func (s *search) usable(u *fleet.Upstream) bool {
	if u == nil || !u.AcceptsRequestsAt(s.now) || u.Dead() || s.need.Avoid[u.ID()] {
		return false
	}
	if s.need.Granted && u.AvoidedForRefusal(s.now) && !u.RefusesPersistently(s.now) {
		return true // it was briefly full, and the grant tells that it no longer is
	}
	return !u.Avoided(s.now) || s.lenient && !u.AvoidedForRefusal(s.now)
}

// canRun reports whether an engine may run layers beginning with from. A path cannot begin at an
// engine that rests or whose rate limit is exhausted, because this daemon sends the request
// there. Later engines receive it from another engine.
func (s *search) canRun(u *fleet.Upstream, from int) bool {
	if u != nil && from == 0 {
		err := u.CheckSend(s.now)
		s.foundResting = s.foundResting || errors.Is(err, fleet.ErrResting)
		s.foundLimited = s.foundLimited || errors.Is(err, fleet.ErrLimited)
		if err != nil {
			return false
		}
	}
	return s.usable(u)
}

// whole returns the path of a chain without holes whose engines can all be used.
func (s *search) whole(c *chain.Chain) (parts []Part, ok bool) {
	if !c.Complete() {
		return nil, false
	}
	parts = make([]Part, 0, len(c.Parts()))
	for _, p := range c.Parts() {
		u := s.view.ByID(p.ID)
		if !s.canRun(u, p.Layers.From) {
			return nil, false
		}
		parts = append(parts, Part{Upstream: u, Layers: p.Layers})
	}
	return parts, true
}

// complete turns a chain into a path by bridging holes and parts that cannot be used.
func (s *search) complete(c *chain.Chain) (parts []Part, bridged, ok bool) {
	if parts, ok = s.whole(c); ok {
		return parts, false, len(parts) <= maxParts
	}
	used := map[string]bool{}
	kept := make([]Part, 0, len(c.Parts()))
	for _, p := range c.Parts() {
		if u := s.view.ByID(p.ID); s.canRun(u, p.Layers.From) {
			kept = append(kept, Part{Upstream: u, Layers: p.Layers})
			used[p.ID] = true
		}
	}
	next := 0
	for _, p := range append(kept, Part{Layers: spanrill.LayerRange{From: s.model.Layers, To: s.model.Layers}}) {
		if p.Layers.From > next {
			bridge, err := s.bridgePreferringZone(spanrill.LayerRange{From: next, To: p.Layers.From}, used, c.Zone())
			if err != nil {
				if s.bridgeErr == nil || errors.Is(err, ErrNoRoom) {
					s.bridgeErr = err
				}
				return nil, false, false
			}
			parts, bridged = append(parts, bridge...), true
		}
		if p.Upstream != nil {
			parts = append(parts, p)
		}
		next = p.Layers.To
	}
	return parts, bridged, len(parts) <= maxParts
}

// maxParts is how many engines the platform accepts in one path.
const maxParts = 32

// bridgePreferringZone covers a range with engines of one availability zone if possible, and of
// any zone otherwise.
func (s *search) bridgePreferringZone(hole spanrill.LayerRange, used map[string]bool, zone string) ([]Part, error) {
	usedBefore := make(map[string]bool, len(used))
	for id := range used {
		usedBefore[id] = true
	}
	s.zone = zone
	parts, err := s.bridge(hole, used)
	s.zone = ""
	if err == nil {
		return parts, nil
	}
	for id := range used {
		if !usedBefore[id] {
			delete(used, id)
		}
	}
	return s.bridge(hole, used)
}

// bridge covers a range with parts of what other engines hold. It skips engines in used, and adds
// to it those that it takes.
func (s *search) bridge(hole spanrill.LayerRange, used map[string]bool) ([]Part, error) {
	var parts []Part
	skippedFull := false
	for next := hole.From; next < hole.To; {
		best, bestTo, totalFree := (*fleet.Upstream)(nil), next, 0.0
		for _, u := range s.view.ByService(s.service) {
			l := u.Layers()
			if used[u.ID()] || l.From > next || l.To <= next || s.zone != "" && u.Zone() != s.zone || !s.canRun(u, next) {
				continue
			}
			to := min(l.To, hole.To)
			if !s.need.Granted && s.freeTokens(u) < s.need.tokens()*float64(to-next)/float64(l.Len()) {
				skippedFull = true
				continue
			}
			if to > bestTo || to == bestTo && s.preferred(u, best, &totalFree) {
				best, bestTo = u, to
			}
		}
		if best == nil && skippedFull {
			return nil, ErrNoRoom
		}
		if best == nil {
			return nil, ErrNoPath
		}
		used[best.ID()] = true
		parts = append(parts, Part{Upstream: best, Layers: spanrill.LayerRange{From: next, To: bestTo}})
		next = bestTo
	}
	return parts, nil
}

// preferred reports whether an engine is preferred to another one that reaches as far. Without a
// random source, the one with more free tokens is. With one, each engine is chosen with a
// probability in proportion to its free tokens: requests that move at the same moment would
// otherwise all queue at the emptiest engine, which reads their tokens one after the other.
// totalFree is the sum of the free tokens of the engines compared so far.
func (s *search) preferred(u, other *fleet.Upstream, totalFree *float64) bool {
	if s.random == nil {
		return s.freeTokens(u) > s.freeTokens(other)
	}
	if *totalFree == 0 {
		*totalFree = max(1, s.freeTokens(other))
	}
	free := max(1, s.freeTokens(u))
	*totalFree += free
	return s.random()*(*totalFree) < free
}

func (s *search) kind(u *fleet.Upstream) spanrill.AcceleratorKind {
	return s.model.Kinds[u.Entry().Kind]
}

// capacityTokens returns how many tokens fit into an engine's memory beside its layers.
func (s *search) capacityTokens(u *fleet.Upstream) float64 {
	return cost.Capacity(s.model, s.kind(u), u.Layers().Len())
}

// freeTokens returns how many more tokens fit into the part of an engine's memory that may be used.
func (s *search) freeTokens(u *fleet.Upstream) float64 {
	if u == nil {
		return 0
	}
	fraction := maxFill - staleFillReduction*s.staleness
	if s.need.Urgent {
		fraction = maxFillUrgent
	}
	return fraction*s.capacityTokens(u) - float64(u.Tokens())
}

// hasRoom reports whether the first engine has a free slot and all engines have memory for the
// request.
func (s *search) hasRoom(parts []Part) bool {
	if slots := parts[0].Upstream.Entry().Slots; slots > 0 && parts[0].Upstream.Calls() >= int64(slots) {
		return false
	}
	for _, p := range parts {
		if s.freeTokens(p.Upstream) < s.need.tokens()*p.share() {
			return false
		}
	}
	return true
}

// costStages returns the stages of a path for the cost model, adjusted by the pace that each engine
// currently reports.
func (s *search) costStages(parts []Part) []cost.Stage {
	stages := make([]cost.Stage, len(parts))
	for i, p := range parts {
		kind := s.kind(p.Upstream)
		pace := p.Upstream.Pace()
		kind.StepFactor *= pace
		kind.PrefillFactor *= pace
		stages[i] = cost.Stage{Kind: kind, Zone: p.Upstream.Zone(), Layers: p.Layers.Len()}
	}
	return stages
}

// estimate returns the milliseconds that the request is expected to take on a path: weighted by how
// full the path is, by recent delays and failures and by its zone, and without these weights.
func (s *search) estimate(parts []Part) (weighted, base float64) {
	stages := s.costStages(parts)
	fullest, requests := 0.0, 0.0
	for _, p := range parts {
		fullest = max(fullest, float64(p.Upstream.Tokens())/max(1, s.capacityTokens(p.Upstream)))
		requests = max(requests, float64(p.Upstream.Tokens())/cost.MeanTokens(s.model))
	}
	answer := max(1, float64(s.need.Answer))
	millis := cost.PromptMillis(s.model, stages, float64(s.need.Prompt)) + answer*cost.TokenMillis(s.model, stages, requests+1)
	base = millis
	millis *= 1 + fullnessWeight*fullest*fullest
	millis *= parts[0].Upstream.Lag(s.now)
	for _, p := range parts {
		millis *= 1 + riskWeight*p.Upstream.FailureRate(s.now)
	}
	if parts[0].Upstream.Zone() != s.need.Zone {
		millis *= otherZoneFactor
	}
	return millis, base
}

// acceptsMove reports whether an engine can keep its part when a running request moves to a new
// path.
func (s *search) acceptsMove(p Part) bool {
	u, held := p.Upstream, p.Upstream.Layers()
	return u.AcceptsRequestsAt(s.now) && !u.Dead() && !s.need.Avoid[u.ID()] && held.From <= p.Layers.From && p.Layers.To <= held.To
}

// holeEnd returns the end of the run of parts from start on that are bridged together: several
// small adjacent holes may need one engine that spans them.
func (s *search) holeEnd(parts []Part, start int, sameZone bool) int {
	zone := parts[start].Upstream.Zone()
	end := start + 1
	for end < len(parts) && !s.acceptsMove(parts[end]) && (!sameZone || parts[end].Upstream.Zone() == zone) {
		end++
	}
	return end
}
