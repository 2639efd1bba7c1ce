// Package chain reads the chains of a service off the layers that its engines
// hold.
//
// A chain is a series of engines that together hold every layer of the model
// once. Nothing stores which engine belongs to which chain: every daemon sees
// the same holdings and reads the same chains off them, and after a crash of
// all daemons nothing has to be restored.
//
// A chain that has lost an engine has holes: ranges that none of its engines
// holds.
//
//	chain.go  a chain
//	read.go   reading all chains
//	best.go   the best series of some holders
//
// # Usage
//
//	chains, spares := chain.Read(model.Layers, holders)
//
// Whoever reads again after each change keeps a Reader:
//
//	r := chain.NewReader(model.Layers)
//	chains, spares = r.Read(holders)
package chain

import "spanrill"

// Holder is an engine and the layers it holds.
type Holder struct {
	ID     string
	Zone   string
	Layers spanrill.LayerRange
	Used   int64   // of holders of the same layers the most used one is a part and not a spare
	Pace   float64 // of its kind: of series that cover as much the fastest is the chain
}

// Chain is a series of holders in the order of their layers.
type Chain struct {
	parts  []Holder
	layers int
}

// Parts returns the holders in order. The slice must not be changed.
func (c *Chain) Parts() []Holder { return c.parts }

// Covered returns how many layers the chain's engines hold.
func (c *Chain) Covered() int {
	n := 0
	for _, p := range c.parts {
		n += p.Layers.Len()
	}
	return n
}

// Whole reports whether the chain holds every layer.
func (c *Chain) Whole() bool { return c.Covered() == c.layers }

// Holes returns the ranges that no engine of the chain holds.
func (c *Chain) Holes() []spanrill.LayerRange {
	var holes []spanrill.LayerRange
	at := 0
	for _, p := range c.parts {
		if p.Layers.From > at {
			holes = append(holes, spanrill.LayerRange{From: at, To: p.Layers.From})
		}
		at = p.Layers.To
	}
	if at < c.layers {
		holes = append(holes, spanrill.LayerRange{From: at, To: c.layers})
	}
	return holes
}

// Zone returns the availability zone that holds most of the chain.
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
