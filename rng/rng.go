// Package rng provides a random source that goroutines share without a lock. It returns the same
// sequence for the same seed and the same order of calls.
//
// # Usage
//
//	r := rng.New(42)
//	i := r.IntN(len(candidates))
package rng

import (
	"math/bits"
	"sync/atomic"
)

// Source is a SplitMix64 generator whose state is one atomic counter (Steele, Lea and Flood, "Fast
// splittable pseudorandom number generators", 2014).
type Source struct {
	state atomic.Uint64
}

// goldenGamma is the increment of SplitMix64: the odd integer closest to 2^64 divided by the
// golden ratio.
const goldenGamma = 0x9e3779b97f4a7c15

// New returns a source that starts at the seed.
func New(seed uint64) *Source {
	s := &Source{}
	s.state.Store(seed)
	return s
}

// Uint64 returns the next 64 random bits.
func (s *Source) Uint64() uint64 {
	z := s.state.Add(goldenGamma)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// IntN returns a number from 0 to n-1. It panics if n is not positive.
func (s *Source) IntN(n int) int {
	if n <= 0 {
		panic("rng: IntN called with n <= 0")
	}
	hi, _ := bits.Mul64(s.Uint64(), uint64(n))
	return int(hi)
}

// Float64 returns a number from 0 up to but not including 1.
func (s *Source) Float64() float64 {
	return float64(s.Uint64()>>11) / (1 << 53)
}
