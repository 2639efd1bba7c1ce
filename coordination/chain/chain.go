// Package chain builds the chains of a service from the layers that its engines hold.
//
// A chain is a series of engines that together hold every layer of the model once. Nothing stores
// which engine belongs to which chain: every daemon sees the same layers and builds the same
// chains from them, and after a crash of all daemons nothing has to be restored.
//
// A chain that has lost an engine has holes: ranges of layers that none of its engines holds.
//
//	chain.go  the type Chain
//	read.go   building all chains of a model
//	best.go   the best series of given holders
//
// # Usage
//
//	chains, spares := chain.Build(model.Layers, holders)
//
// To build chains again after each change, keep a Builder:
//
//	b := chain.NewBuilder(model.Layers)
//	chains, spares = b.Build(holders)
package chain

import "spanrill"

// Holder is an engine and the layers it holds.
type Holder struct {
	ID             string
	Zone           string
	Layers         spanrill.LayerRange
	ReservedTokens int64   // tokens reserved by running requests; of holders of the same layers, the one with the most becomes a part
	Pace           float64 // time factor of the engine's kind, lower is faster; of series that cover as much, the fastest becomes the chain
}

// Chain is a series of holders in the order of their layers.
type Chain struct {
	parts  []Holder
	layers int
}

// Parts returns the holders in order. The slice must not be changed.
func (c *Chain) Parts() []Holder { return c.parts }

// Covered returns how many layers the engines of the chain hold.
func (c *Chain) Covered() int {
	n := 0
	for _, p := range c.parts {
		n += p.Layers.Len()
	}
	return n
}

// Complete reports whether the chain covers every layer.
func (c *Chain) Complete() bool { return c.Covered() == c.layers }

// Holes returns the ranges of layers that no engine of the chain holds.
func (c *Chain) Holes() []spanrill.LayerRange {
	var holes []spanrill.LayerRange
	next := 0
	for _, p := range c.parts {
		if p.Layers.From > next {
			holes = append(holes, spanrill.LayerRange{From: next, To: p.Layers.From})
		}
		next = p.Layers.To
	}
	if next < c.layers {
		holes = append(holes, spanrill.LayerRange{From: next, To: c.layers})
	}
	return holes
}

// Zone returns the availability zone whose engines hold the most layers of the chain.
func (c *Chain) Zone() string {
	count := map[string]int{}
	best := ""
	for _, p := range c.parts {
		count[p.Zone] += p.Layers.Len()
		if best == "" || count[p.Zone] > count[best] {
			best = p.Zone
		}
	}
	return best
}
