package chainrouting

import (
	"maps"

	"spanrill"
	"spanrill/coordination/cost"
)

// When an engine is lost all requests that ran through it move at the same moment, and
// each engine that takes a part over reads their tokens so far one after the other before
// they go on. Requests are late after a pause of 250 ms, of which finding the loss takes
// 110 ms. Each daemon moves a few requests and knows nothing of the others' moves, so that
// the moves are spread by chance, over all bridges in proportion to how fast these read.
//
// Where each request took the engine that reaches furthest, mostly the one spare, 57 of 61
// requests moved to one engine and 98 of 113 were late. Played with 60 requests of 900
// tokens, one spare and two other chains in the availability zone (TestMovesOfAll), the
// last has been read 397 ms after the move then, and 238 ms now.

// spreadBridge covers a range as bridge does, by one of all bridges that begin with
// different engines.
func (s *search) spreadBridge(hole spanrill.LayerRange, used map[string]bool) ([]Part, error) {
	var chosen []Part
	sum := 0.0
	full := s.eachBridging(hole.From, hole.To, used, func(first Part) {
		parts, err := s.bridgeBehind(first, hole.To, used)
		if err != nil {
			return
		}
		weight := s.bridgeWeight(parts)
		sum += weight
		if s.draw()*sum < weight {
			chosen = parts
		}
	})
	if chosen == nil && full {
		return nil, ErrNoRoom
	}
	if chosen == nil {
		return nil, ErrNoPath
	}
	for _, p := range chosen {
		used[p.Upstream.ID()] = true
	}
	return chosen, nil
}

// bridgeBehind completes a bridge that begins with a part.
func (s *search) bridgeBehind(first Part, end int, used map[string]bool) ([]Part, error) {
	if first.Layers.To == end {
		return []Part{first}, nil
	}
	taken := maps.Clone(used)
	taken[first.Upstream.ID()] = true
	rest, err := s.bridge(spanrill.LayerRange{From: first.Layers.To, To: end}, taken)
	if err != nil {
		return nil, err
	}
	return append([]Part{first}, rest...), nil
}

// bridgeWeight is in proportion to the requests that a bridge takes over in a time: its
// slowest engine decides. Each further engine adds to the time of every token, which
// counts as if it read that much more.
func (s *search) bridgeWeight(parts []Part) float64 {
	slowest := 0.0
	for i, stage := range s.stages(parts) {
		slowest = max(slowest, cost.ReadMillis(s.model, stage.Kind, parts[i].Layers.Len(), s.need.tokens()))
	}
	return 1 / (max(leastRead, slowest) * float64(len(parts)))
}

// leastRead keeps weights finite where no time for reading is known, in milliseconds.
const leastRead = 0.01
