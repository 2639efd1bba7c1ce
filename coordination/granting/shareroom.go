package granting

import (
	"math"

	"spanrill"
)

// maxCapacity is the largest believable capacity of an engine in tokens. It is over the memory of
// any accelerator at a kilobyte for each token.
const maxCapacity = 1e9

// chainRoom is the room of an empty chain, without what other chains take of its engines.
type chainRoom struct {
	chain *spanrill.RoomChain
	room  float64 // requests of mean size
}

// chainRooms divides the capacity of the engines among the chains. Each engine's capacity counts
// once, in proportion to what its chains could use alone. Bridged chains get what the others leave.
// Chains with impossible figures are left out. The mean size of a request is in tokens.
func chainRooms(chains []spanrill.RoomChain, meanSize float64) []chainRoom {
	var own, bridged []*spanrill.RoomChain
	seen := map[uint32]bool{}
	for i := range chains {
		c := &chains[i]
		if !isPlausible(c) || seen[c.First()] {
			continue
		}
		seen[c.First()] = true
		if c.Bridged {
			bridged = append(bridged, c)
		} else {
			own = append(own, c)
		}
	}
	free := engineCapacities(own, bridged)
	rooms := divideCapacity(own, free, meanSize)
	return append(rooms, divideCapacity(bridged, free, meanSize)...)
}

// isPlausible reports whether the figures of a chain are within their ranges.
func isPlausible(c *spanrill.RoomChain) bool {
	for _, p := range c.Parts {
		isShare := p.Share > 0 && p.Share <= 1
		isCapacity := p.Capacity > 0 && p.Capacity <= maxCapacity
		if p.Engine == 0 || !isShare || !isCapacity {
			return false
		}
	}
	return len(c.Parts) > 0
}

// engineCapacities returns the capacity of each engine in tokens.
func engineCapacities(groups ...[]*spanrill.RoomChain) map[uint32]float64 {
	capacities := map[uint32]float64{}
	for _, group := range groups {
		for _, c := range group {
			for _, p := range c.Parts {
				known, ok := capacities[p.Engine]
				if !ok || p.Capacity < known {
					capacities[p.Engine] = p.Capacity
				}
			}
		}
	}
	return capacities
}

// divideCapacity divides the free tokens of the engines among chains, and takes them from free.
func divideCapacity(chains []*spanrill.RoomChain, free map[uint32]float64, meanSize float64) []chainRoom {
	tokens := make([]float64, len(chains))
	wanted := map[uint32]float64{}
	for i, c := range chains {
		tokens[i] = tokensAlone(c, free, meanSize)
		for _, p := range c.Parts {
			wanted[p.Engine] += tokens[i] * p.Share
		}
	}
	rooms := make([]chainRoom, 0, len(chains))
	for i, c := range chains {
		excess := 1.0
		for _, p := range c.Parts {
			if free[p.Engine] > 0 {
				excess = max(excess, wanted[p.Engine]/free[p.Engine])
			}
		}
		tokens[i] /= excess
		rooms = append(rooms, chainRoom{c, tokens[i] / meanSize})
	}
	for i, c := range chains {
		for _, p := range c.Parts {
			free[p.Engine] = max(0, free[p.Engine]-tokens[i]*p.Share)
		}
	}
	return rooms
}

// tokensAlone returns how many tokens a chain could hold if it had its engines alone.
func tokensAlone(c *spanrill.RoomChain, free map[uint32]float64, meanSize float64) float64 {
	tokens := math.Inf(1)
	for _, p := range c.Parts {
		tokens = min(tokens, free[p.Engine]/p.Share)
	}
	if c.Slots > 0 {
		tokens = min(tokens, float64(c.Slots)*meanSize)
	}
	return tokens
}
