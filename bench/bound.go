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

// The cost of prefill in the stand-in engines (standin/engine).
const (
	prefillWeight = 0.1
	prefillChunk  = 64
	cacheBlock    = 16
)

// cost returns the batch slots that a request takes on each stage, and their
// total weight. It assumes the best case: all shared words are cached.
func (m Mix) cost() (slots, weight float64) {
	cached := m.SharedWords / cacheBlock * cacheBlock
	positions := float64(m.PromptWords - cached)
	return math.Ceil(positions/prefillChunk) + m.meanTokens(), prefillWeight*positions + m.meanTokens()
}

// engineRate returns the requests a second that an engine can serve when all
// its batches are full.
func engineRate(s engine.Accelerator, layers int, m Mix) float64 {
	slots, weight := m.cost()
	weightPerSlot := weight / slots
	step := float64(s.BaseTime) + float64(s.PositionLayerTime)*float64(layers)*float64(s.Slots)*weightPerSlot
	return float64(s.Slots) / (step / float64(time.Second)) / slots
}

// Bound returns an upper bound on the requests a second that the engines of a
// scene can serve: the maximum flow from the first layer to the last one.
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

// augment returns the shortest augmenting path from the first layer to the last
// one, found by breadth-first search (Edmonds and Karp, 1972), and the flow that
// it can take. The flow is 0 if there is no path.
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
