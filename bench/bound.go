package bench

import (
	"math"
	"time"

	"spanrill/scene"
	"spanrill/standin/engine"
)

// Mix describes the prompts and answer lengths of the requests.
type Mix struct {
	PromptWords    int // words of each prompt
	SharedWords    int // length of the shared prefix, within PromptWords
	MinTokens      int // length of the shortest answer
	MaxTokens      int // length of the longest answer
	SharedPrefixes int // number of different shared prefixes
}

// DefaultMix is used if Options sets no Mix.
var DefaultMix = Mix{PromptWords: 40, SharedWords: 32, MinTokens: 12, MaxTokens: 36, SharedPrefixes: 64}

// meanTokens returns the mean length of an answer in tokens.
func (m Mix) meanTokens() float64 { return float64(m.MinTokens+m.MaxTokens) / 2 }

// The cost of prefill in the stand-in engines; the values are those of standin/engine.
const (
	prefillCost   = 0.1 // cost of a prefill position, in decode positions
	prefillChunk  = 64  // positions in a prefill step
	cacheBlockLen = 16  // positions in a block of the prefix cache
)

// cost returns the number of batch slots that a request takes on each stage, and
// their total weight in decode positions. It assumes the best case, in which all
// blocks of shared words are cached.
func (m Mix) cost() (slots, weight float64) {
	cached := m.SharedWords / cacheBlockLen * cacheBlockLen
	uncached := float64(m.PromptWords - cached)
	return math.Ceil(uncached/prefillChunk) + m.meanTokens(), prefillCost*uncached + m.meanTokens()
}

// engineRate returns the requests a second that an engine with the given number of
// layers can serve when all its batches are full.
func engineRate(a engine.Accelerator, layers int, m Mix) float64 {
	slots, weight := m.cost()
	weightPerSlot := weight / slots
	step := float64(a.BaseTime) + float64(a.PositionLayerTime)*float64(layers)*float64(a.Slots)*weightPerSlot
	return float64(a.Slots) / (step / float64(time.Second)) / slots
}

// Bound returns an upper bound on the requests a second that the engines of a
// scene can serve. It is the maximum flow from layer 0 to the end of the model, where
// each engine is an edge from its first layer to the layer after its last one.
func Bound(engines []scene.EngineSpec, layers int, m Mix) float64 {
	capacity := make([][]float64, layers+1)
	for i := range capacity {
		capacity[i] = make([]float64, layers+1)
	}
	for _, e := range engines {
		if !e.Empty {
			capacity[e.Layers.From][e.Layers.To] += engineRate(e.Accelerator, e.Layers.Len(), m)
		}
	}
	total := 0.0
	for {
		path, flow := augment(capacity)
		if flow == 0 {
			return total
		}
		for i := 1; i < len(path); i++ {
			capacity[path[i-1]][path[i]] -= flow
			capacity[path[i]][path[i-1]] += flow
		}
		total += flow
	}
}

// augment returns the shortest augmenting path from layer 0 to the end of the model,
// found by breadth-first search (Edmonds and Karp, 1972), and the flow that it can
// take. The flow is 0 if there is no path.
func augment(capacity [][]float64) (path []int, flow float64) {
	last := len(capacity) - 1
	parent := make([]int, last+1)
	for i := range parent {
		parent[i] = -1
	}
	queue := []int{0}
	for len(queue) > 0 && parent[last] < 0 {
		node := queue[0]
		queue = queue[1:]
		for to, residual := range capacity[node] {
			if residual > minFlow && parent[to] < 0 && to != 0 {
				parent[to] = node
				queue = append(queue, to)
			}
		}
	}
	if parent[last] < 0 {
		return nil, 0
	}
	flow = math.Inf(1)
	for node := last; node != 0; node = parent[node] {
		path = append([]int{node}, path...)
		flow = math.Min(flow, capacity[parent[node]][node])
	}
	return append([]int{0}, path...), flow
}

// minFlow is the residual capacity, in requests a second, up to which an edge counts
// as full.
const minFlow = 1e-9
