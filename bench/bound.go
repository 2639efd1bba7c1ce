package bench

import (
	"math"
	"time"

	"spanrill/scene"
	"spanrill/standin/engine"
)

// Mix is what callers ask for.
type Mix struct {
	PromptWords int // words of each prompt
	SharedWords int // words of it that many prompts begin with
	MinTokens   int
	MaxTokens   int
	Prompts     int // different shared beginnings
}

// DefaultMix is the mix of scenes that name none.
var DefaultMix = Mix{PromptWords: 40, SharedWords: 32, MinTokens: 12, MaxTokens: 36, Prompts: 64}

// meanTokens returns the mean length of an answer.
func (m Mix) meanTokens() float64 { return float64(m.MinTokens+m.MaxTokens) / 2 }

// The cost of prefill in the stand-in engines.
const (
	prefillWeight = 0.1
	prefillChunk  = 64
	cacheBlock    = 16
)

// jobs returns the batch places that a request takes on each stage, and their
// weight. The best case is counted: all shared words are cached.
func (m Mix) jobs() (places, weight float64) {
	cached := m.SharedWords / cacheBlock * cacheBlock
	positions := float64(m.PromptWords - cached)
	return math.Ceil(positions/prefillChunk) + m.meanTokens(), prefillWeight*positions + m.meanTokens()
}

// engineRate returns the requests a second that an engine can carry when all
// its batches are full.
func engineRate(s engine.Accelerator, layers int, m Mix) float64 {
	places, weight := m.jobs()
	perPlace := weight / places
	step := float64(s.BaseTime) + float64(s.PositionLayerTime)*float64(layers)*float64(s.Slots)*perPlace
	return float64(s.Slots) / (step / float64(time.Second)) / places
}

// Bound returns the requests a second that the engines of a scene could carry
// at the most: the largest flow from the first layer to the last one.
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

// augment returns a path with room from the first layer to the last one, found
// breadth first (Edmonds and Karp, 1972), and its room.
func augment(capacity [][]float64) (path []int, flow float64) {
	last := len(capacity) - 1
	before := make([]int, last+1)
	for i := range before {
		before[i] = -1
	}
	queue := []int{0}
	for len(queue) > 0 && before[last] < 0 {
		at := queue[0]
		queue = queue[1:]
		for to, room := range capacity[at] {
			if room > smallestFlow && before[to] < 0 && to != 0 {
				before[to] = at
				queue = append(queue, to)
			}
		}
	}
	if before[last] < 0 {
		return nil, 0
	}
	flow = math.Inf(1)
	for at := last; at != 0; at = before[at] {
		path = append([]int{at}, path...)
		flow = math.Min(flow, capacity[before[at]][at])
	}
	return append([]int{0}, path...), flow
}

const smallestFlow = 1e-9
