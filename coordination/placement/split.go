package placement

import (
	"math"

	"spanrill"
)

// Split divides layers among engines in the given order so that the slowest of
// them is as fast as it can be. It returns one range for each engine, or nil if
// the layers do not fit. An engine may get no layers.
//
// The time of a stage grows with its layers, so that the best bound on it is
// found by bisection: for a bound, each engine takes as many layers as it can.
func Split(layers spanrill.LayerRange, engines []Engine) []spanrill.LayerRange {
	low, high := 0.0, slowestWith(engines, layers.Len())
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

// bisections is enough to tell any two stage times apart.
const bisections = 60

// stageMicros returns the time of a full batch step with n layers.
func stageMicros(e *Engine, n int) float64 {
	return e.Step + e.Token*float64(n)*float64(e.Slots)
}

// perToken returns the time a token of a full batch costs with n layers.
func perToken(e *Engine, n int) float64 {
	return stageMicros(e, n) / float64(max(1, e.Slots))
}

func slowestWith(engines []Engine, n int) float64 {
	worst := 0.0
	for i := range engines {
		worst = math.Max(worst, perToken(&engines[i], n))
	}
	return worst
}

// most returns how many layers an engine takes within a bound.
func most(e *Engine, bound float64) int {
	n := 0
	for n < e.MemLayer && perToken(e, n+1) <= bound {
		n++
	}
	return n
}

func fits(layers int, engines []Engine, bound float64) bool {
	for i := range engines {
		layers -= most(&engines[i], bound)
	}
	return layers <= 0
}

func assign(layers spanrill.LayerRange, engines []Engine, bound float64) []spanrill.LayerRange {
	ranges := make([]spanrill.LayerRange, len(engines))
	next := layers.From
	for i := range engines {
		n := min(most(&engines[i], bound), layers.To-next)
		ranges[i] = spanrill.LayerRange{From: next, To: next + n}
		next += n
	}
	return ranges
}
