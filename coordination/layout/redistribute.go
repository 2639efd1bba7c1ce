package layout

import (
	"math"

	"spanrill"
	"spanrill/coordination/cost"
)

// requestCapacities lists, in descending order, the memory in usual requests per chain
// that a repair tries to leave beside the layers. The engine with the least free memory
// bounds the whole chain, and a chain usually runs 50 to 70 requests.
var requestCapacities = []float64{110, 90, 72, 56, 40, 28, minChainRequests}

// sufficientCapacities is the number of leading requestCapacities with which a chain can
// serve its share of the traffic.
const sufficientCapacities = 4

// redistribute divides a model's layers among engines, which keep their order and
// memory for the given number of requests, so that as few layers as possible have
// to be loaded. It returns nil if they cannot hold all layers.
func redistribute(m *spanrill.EngineModel, parts []candidate, requests float64) []spanrill.LayerRange {
	limits := make([]int, len(parts))
	total := 0
	for i, e := range parts {
		limits[i] = maxTargetLayers(m, e, requests)
		total += limits[i]
	}
	if total < m.Layers {
		return nil
	}
	return minimizeLoads(m.Layers, parts, limits)
}

// maxTargetLayers returns how many layers an engine may be ordered to hold: as many as
// leave memory for the given number of requests and, if that is more than it holds now,
// for its running requests too. An engine breaks requests off when new layers need their
// memory.
func maxTargetLayers(m *spanrill.EngineModel, e candidate, requests float64) int {
	held, n := e.Layers.Len(), cost.MaxLayersWithTokens(m, e.kind, requests*cost.MeanTokens(m))
	running := float64(e.Tokens) * float64(held) // tokens times layers
	for n > held && cost.Capacity(m, e.kind, n)*float64(n) < running {
		n--
	}
	return n
}

// minimizeLoads divides layers among engines in order, each within its limit, so that
// the number of layers to load is minimal. It is a dynamic program over the engines:
// for each layer at which the first i engines can end, it keeps the fewest layers to
// load and where the last of these engines starts.
func minimizeLoads(layers int, parts []candidate, limits []int) []spanrill.LayerRange {
	loads := make([][]int, len(parts)+1)
	starts := make([][]int, len(parts)+1)
	for i := range loads {
		loads[i] = make([]int, layers+1)
		starts[i] = make([]int, layers+1)
		for end := range loads[i] {
			loads[i][end] = math.MaxInt
		}
	}
	loads[0][0] = 0
	for i, e := range parts {
		for start := range layers + 1 {
			if loads[i][start] == math.MaxInt {
				continue
			}
			for end := start; end <= min(layers, start+limits[i]); end++ {
				n := loads[i][start] + layersToLoad(e.Layers, spanrill.LayerRange{From: start, To: end})
				if n < loads[i+1][end] {
					loads[i+1][end], starts[i+1][end] = n, start
				}
			}
		}
	}
	if loads[len(parts)][layers] == math.MaxInt {
		return nil
	}
	ranges := make([]spanrill.LayerRange, len(parts))
	for i, end := len(parts), layers; i > 0; i-- {
		ranges[i-1] = spanrill.LayerRange{From: starts[i][end], To: end}
		end = starts[i][end]
	}
	return ranges
}

// layersToLoad returns how many layers of next an engine that holds held has to load.
func layersToLoad(held, next spanrill.LayerRange) int {
	kept := max(0, min(held.To, next.To)-max(held.From, next.From))
	return next.Len() - kept
}
