package chainrouting

import (
	"github.com/pkg/errors"

	"spanrill"
	"spanrill/coordination/chain"
	"spanrill/coordination/cost"
	"spanrill/state/fleet"
)

// search is one choice.
type search struct {
	view    *fleet.View
	service string
	model   *spanrill.EngineModel
	need    Need
	now     spanrill.Millis
	none    error
	pipes   *pipes
	lag     float64        // how old the figures of other daemons are, from 0 to 1
	draw    func() float64 // from 0 to 1, to choose among equal engines, or nil for the emptiest
	lenient bool           // engines that have only failed a request lately are used
	zone    string         // bridges are taken from this availability zone alone, unless ""
	limited bool           // an engine was left out at which a path could begin, because its rate limit is exhausted
	rests   bool           // an engine was left out at which a path could begin, because it rests
}

func (s *search) usable(u *fleet.Upstream) bool {
	if u == nil || !u.TakesAt(s.now) || u.Dead() || s.need.Avoid[u.ID()] {
		return false
	}
	return !u.Avoided(s.now) || s.lenient && !u.Refuses(s.now)
}

// mayRun reports whether an engine may run layers from a place on. A path cannot begin at
// one that has asked this daemon for rest or whose rate limit is exhausted, because this daemon
// sends the request there. Later engines receive it from another engine.
func (s *search) mayRun(u *fleet.Upstream, from int) bool {
	if u != nil && from == 0 {
		err := u.MaySend(s.now)
		s.rests = s.rests || errors.Is(err, fleet.ErrRests)
		s.limited = s.limited || errors.Is(err, fleet.ErrLimited)
		if err != nil {
			return false
		}
	}
	return s.usable(u)
}

// complete turns a chain into a path: parts that cannot be used and holes are
// bridged.
func (s *search) complete(c *chain.Chain) (parts []Part, bridged, ok bool) {
	used := map[string]bool{}
	kept := make([]Part, 0, len(c.Parts()))
	for _, p := range c.Parts() {
		if u := s.view.ByID(p.ID); s.mayRun(u, p.Layers.From) {
			kept = append(kept, Part{Upstream: u, Layers: p.Layers})
			used[p.ID] = true
		}
	}
	at := 0
	for _, p := range append(kept, Part{Layers: spanrill.LayerRange{From: s.model.Layers, To: s.model.Layers}}) {
		if p.Layers.From > at {
			bridge, err := s.nearBridge(spanrill.LayerRange{From: at, To: p.Layers.From}, used, c.Zone())
			if err != nil {
				if s.none == nil || errors.Is(err, ErrNoRoom) {
					s.none = err
				}
				return nil, false, false
			}
			parts, bridged = append(parts, bridge...), true
		}
		if p.Upstream != nil {
			parts = append(parts, p)
		}
		at = p.Layers.To
	}
	return parts, bridged, len(parts) <= maxParts
}

// maxParts is the most engines that the platform takes in one path.
const maxParts = 32

// nearBridge covers a range from one availability zone if that can be done, and
// from any otherwise.
func (s *search) nearBridge(hole spanrill.LayerRange, used map[string]bool, zone string) ([]Part, error) {
	before := make(map[string]bool, len(used))
	for id := range used {
		before[id] = true
	}
	s.zone = zone
	parts, err := s.bridge(hole, used)
	s.zone = ""
	if err == nil {
		return parts, nil
	}
	for id := range used {
		if !before[id] {
			delete(used, id)
		}
	}
	return s.bridge(hole, used)
}

// bridge covers a range with parts of what other engines hold. Used engines
// are left out, and those taken are added to them.
func (s *search) bridge(hole spanrill.LayerRange, used map[string]bool) ([]Part, error) {
	var parts []Part
	full := false
	for at := hole.From; at < hole.To; {
		best, bestTo, weight := (*fleet.Upstream)(nil), at, 0.0
		for _, u := range s.view.Of(s.service) {
			l := u.Layers()
			if used[u.ID()] || l.From > at || l.To <= at || s.zone != "" && u.Zone() != s.zone || !s.mayRun(u, at) {
				continue
			}
			to := min(l.To, hole.To)
			if s.free(u) < s.need.tokens()*float64(to-at)/float64(l.Len()) {
				full = true
				continue
			}
			if to > bestTo || to == bestTo && s.better(u, best, &weight) {
				best, bestTo = u, to
			}
		}
		if best == nil && full {
			return nil, ErrNoRoom
		}
		if best == nil {
			return nil, ErrNoPath
		}
		used[best.ID()] = true
		parts = append(parts, Part{Upstream: best, Layers: spanrill.LayerRange{From: at, To: bestTo}})
		at = bestTo
	}
	return parts, nil
}

// better reports whether an engine is to be preferred to one that reaches as far.
// Where many requests move at the same moment, each takes one at random by how
// empty they are: all would queue at the same one otherwise, which reads the
// tokens of one after the other. Weight is the sum over those seen so far.
func (s *search) better(u, than *fleet.Upstream, weight *float64) bool {
	if s.draw == nil {
		return s.free(u) > s.free(than)
	}
	if *weight == 0 {
		*weight = max(1, s.free(than))
	}
	free := max(1, s.free(u))
	*weight += free
	return s.draw()*(*weight) < free
}

func (s *search) kind(u *fleet.Upstream) spanrill.KindModel { return s.model.Kinds[u.Entry().Kind] }

// capacity is for how many tokens an engine has memory beside its layers.
func (s *search) capacity(u *fleet.Upstream) float64 {
	return cost.Capacity(s.model, s.kind(u), u.Layers().Len())
}

// free is for how many more tokens an engine has memory.
func (s *search) free(u *fleet.Upstream) float64 {
	if u == nil {
		return 0
	}
	part := fill - fillLag*s.lag
	if s.need.Urgent {
		part = fillUrgent
	}
	return part*s.capacity(u) - float64(u.Tokens())
}

func (s *search) roomFor(parts []Part) bool {
	if slots := parts[0].Upstream.Entry().Slots; slots > 0 && parts[0].Upstream.Calls() >= int64(slots) {
		return false
	}
	for _, p := range parts {
		if s.free(p.Upstream) < s.need.tokens()*p.share() {
			return false
		}
	}
	return true
}

// stages are the engines of a path as they are now: a slow one counts as slow.
func (s *search) stages(parts []Part) []cost.Stage {
	stages := make([]cost.Stage, len(parts))
	for i, p := range parts {
		kind := s.kind(p.Upstream)
		pace := p.Upstream.Pace()
		kind.Pace *= pace
		kind.ReadFactor *= pace
		stages[i] = cost.Stage{Kind: kind, Zone: p.Upstream.Zone(), Layers: p.Layers.Len()}
	}
	return stages
}

// estimate is the time that the request is expected to take on a path, made
// longer by how full the path is and by how it did lately, and the same without
// these.
func (s *search) estimate(parts []Part) (weighed, base float64) {
	stages := s.stages(parts)
	full, requests := 0.0, 0.0
	for _, p := range parts {
		full = max(full, float64(p.Upstream.Tokens())/max(1, s.capacity(p.Upstream)))
		requests = max(requests, float64(p.Upstream.Tokens())/cost.Tokens(s.model))
	}
	answer := max(1, float64(s.need.Answer))
	millis := cost.PromptMillis(s.model, stages, float64(s.need.Prompt)) + answer*cost.TokenMillis(s.model, stages, requests+1)
	base = millis
	millis *= 1 + fullness*full*full
	millis *= parts[0].Upstream.Lag(s.now)
	for _, p := range parts {
		millis *= 1 + riskWeight*p.Upstream.Risk(s.now)
	}
	if parts[0].Upstream.Zone() != s.need.Zone {
		millis *= otherZone
	}
	return millis, base
}

// takesMove reports whether an engine can keep its part of a path to which a running
// request is moved.
func (s *search) takesMove(p Part) bool {
	u, held := p.Upstream, p.Upstream.Layers()
	return u.TakesAt(s.now) && !u.Dead() && !s.need.Avoid[u.ID()] && held.From <= p.Layers.From && p.Layers.To <= held.To
}

// untilTaken returns the end of the series of parts from i on that have to be bridged
// together: several small holes side by side may need one engine that spans them.
func (s *search) untilTaken(parts []Part, i int, near bool) int {
	zone := parts[i].Upstream.Zone()
	end := i + 1
	for end < len(parts) && !s.takesMove(parts[end]) && (!near || parts[end].Upstream.Zone() == zone) {
		end++
	}
	return end
}
