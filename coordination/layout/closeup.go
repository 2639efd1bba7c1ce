package layout

import (
	"math"

	"spanrill"
	"spanrill/coordination/cost"
)

// rooms are the rooms, in usual requests of one chain, that are tried when a
// chain is repaired, from the most: its tightest engine bounds the whole chain.
// A chain of today runs 50 to 70 requests.
var rooms = []float64{110, 90, 72, 56, 40, 28, leastRequests}

// goodRooms is how many of the rooms let a chain serve its part of the traffic.
const goodRooms = 4

// closeUp divides a model's layers among engines that keep their order and
// their memory for that many requests, so that as few layers as possible have
// to be loaded, and returns nil if they cannot hold all layers.
func closeUp(m *spanrill.EngineModel, parts []candidate, requests float64) []spanrill.LayerRange {
	most := make([]int, len(parts))
	total := 0
	for i, e := range parts {
		most[i] = mostBeside(m, e, requests)
		total += most[i]
	}
	if total < m.Layers {
		return nil
	}
	return fewestLoads(m.Layers, parts, most)
}

// mostBeside is how many layers an engine may be brought to hold: those that leave
// memory for that many requests and, if it is to hold more than now, for what runs on
// it. An engine that grows into that memory breaks requests off.
func mostBeside(m *spanrill.EngineModel, e candidate, requests float64) int {
	held, n := e.Layers.Len(), cost.Most(m, e.kind, requests*cost.Tokens(m))
	running := float64(e.Tokens) * float64(held) // tokens times layers
	for n > held && cost.Capacity(m, e.kind, n)*float64(n) < running {
		n--
	}
	return n
}

// fewestLoads divides layers among engines in order, each within its most, so
// that the sum of layers that engines do not hold yet is as small as it can be.
// It works from the first engine on: for each layer up to which the engines so
// far reach, the fewest loads and the last engine's first layer.
func fewestLoads(layers int, parts []candidate, most []int) []spanrill.LayerRange {
	loads := make([][]int, len(parts)+1)
	from := make([][]int, len(parts)+1)
	for i := range loads {
		loads[i] = make([]int, layers+1)
		from[i] = make([]int, layers+1)
		for at := range loads[i] {
			loads[i][at] = math.MaxInt
		}
	}
	loads[0][0] = 0
	for i, e := range parts {
		for start := range layers + 1 {
			if loads[i][start] == math.MaxInt {
				continue
			}
			for end := start; end <= min(layers, start+most[i]); end++ {
				n := loads[i][start] + missing(e.Layers, spanrill.LayerRange{From: start, To: end})
				if n < loads[i+1][end] {
					loads[i+1][end], from[i+1][end] = n, start
				}
			}
		}
	}
	if loads[len(parts)][layers] == math.MaxInt {
		return nil
	}
	ranges := make([]spanrill.LayerRange, len(parts))
	for i, end := len(parts), layers; i > 0; i-- {
		ranges[i-1] = spanrill.LayerRange{From: from[i][end], To: end}
		end = from[i][end]
	}
	return ranges
}

// missing is how many layers of next an engine that holds held has to load.
func missing(held, next spanrill.LayerRange) int {
	kept := max(0, min(held.To, next.To)-max(held.From, next.From))
	return next.Len() - kept
}
