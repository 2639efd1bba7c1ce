package placement

import (
	"math"

	"spanrill"
)

// Split divides layers among engines in the given order so that the slowest of them is
// as fast as possible. It returns one range per engine, which may be empty, or nil if
// the layers do not fit.
//
// The time that an engine takes per token grows with its layers, so the smallest bound on
// it with which all layers fit is found by bisection: for a given bound, each engine takes
// as many layers as it can.
func Split(layers spanrill.LayerRange, engines []Engine) []spanrill.LayerRange {
	low, high := 0.0, maxMicrosPerToken(engines, layers.Len())
	if !fits(layers.Len(), engines, high) {
		return nil
	}
	for range bisections {
		middle := (low + high) / 2
		if fits(layers.Len(), engines, middle) {
			high = middle
		} else {
			low = middle
		}
	}
	return assign(layers, engines, high)
}

// bisections is the number of bisection steps, enough to distinguish any two times.
const bisections = 60

// stageMicros returns the time of a full batch step over n layers.
func stageMicros(e *Engine, n int) float64 {
	return e.StepMicros + e.TokenMicros*float64(n)*float64(e.Slots)
}

// microsPerToken returns the time per token of a full batch over n layers.
func microsPerToken(e *Engine, n int) float64 {
	return stageMicros(e, n) / float64(max(1, e.Slots))
}

// maxMicrosPerToken returns the longest time per token among the engines if each holds n layers.
func maxMicrosPerToken(engines []Engine, n int) float64 {
	longest := 0.0
	for i := range engines {
		longest = math.Max(longest, microsPerToken(&engines[i], n))
	}
	return longest
}

// maxLayersWithin returns how many layers an engine can take within a bound on its microsPerToken.
func maxLayersWithin(e *Engine, bound float64) int {
	n := 0
	for n < e.MaxLayers && microsPerToken(e, n+1) <= bound {
		n++
	}
	return n
}

// fits reports whether the engines can hold that many layers within a bound on their
// microsPerToken.
func fits(layers int, engines []Engine, bound float64) bool {
	for i := range engines {
		layers -= maxLayersWithin(&engines[i], bound)
	}
	return layers <= 0
}

// assign gives each engine in turn as many of the remaining layers as it can take within a
// bound on its microsPerToken.
func assign(layers spanrill.LayerRange, engines []Engine, bound float64) []spanrill.LayerRange {
	ranges := make([]spanrill.LayerRange, len(engines))
	next := layers.From
	for i := range engines {
		n := min(maxLayersWithin(&engines[i], bound), layers.To-next)
		ranges[i] = spanrill.LayerRange{From: next, To: next + n}
		next += n
	}
	return ranges
}
