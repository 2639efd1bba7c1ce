package granting

import (
	"fmt"
	"math"

	"spanrill"
	"spanrill/rng"
)

// simKind is a sort of chain: its engines, and its times for a prompt token and between tokens.
type simKind struct {
	parts                                int
	capacity, read, step, stepPerRequest float64
}

var (
	simQuick   = simKind{parts: 5, capacity: 81_000, read: 0.0136, step: 3.0, stepPerRequest: 0.016}
	simReading = simKind{parts: 6, capacity: 60_000, read: 0.0114, step: 6.0, stepPerRequest: 0.038}
	simSlow    = simKind{parts: 9, capacity: 105_000, read: 0.0347, step: 11, stepPerRequest: 0.06}
	simKinds   = []simKind{
		simQuick, simQuick, simQuick, simReading, simReading, simReading, simReading,
		simSlow, simSlow, simSlow, simSlow, simSlow, simSlow, simSlow,
	}
)

const (
	simSlots      = 192
	simMeanPrompt = 770.0
	simMeanAnswer = 140.0 // as expected
	simZones      = 4
)

// simChain returns a chain whose engines have the numbers from first on.
func simChain(k simKind, first uint32, zone string) spanrill.RoomChain {
	c := spanrill.RoomChain{Zone: zone, Slots: simSlots, StepMillis: k.step, StepMillisPerRequest: k.stepPerRequest, Penalty: 1}
	for i := range k.parts {
		c.Parts = append(c.Parts, spanrill.RoomPart{Engine: first + uint32(i), Capacity: k.capacity, Share: 1, ReadMillis: k.read / float64(k.parts)})
	}
	return c
}

func simChains() (chains []spanrill.RoomChain) {
	for i, k := range simKinds {
		chains = append(chains, simChain(k, uint32(1+100*i), zoneName(i)))
	}
	return chains
}

func zoneName(i int) string { return fmt.Sprint("z", i%simZones) }

// simFactor returns by what an answer differs from what is expected: 1 in the median, and more than 2
// either way for a third. Its mean is simMeanFactor.
func simFactor(random *rng.Source) float64 { return math.Pow(2, 3*random.Float64()-1.5) }

var simMeanFactor = (math.Pow(2, 1.5) - math.Pow(2, -1.5)) / (3 * math.Ln2)

// simRate returns how many requests of mean size a chain serves per second when it is full.
func simRate(c spanrill.RoomChain) float64 {
	answer, read := simMeanAnswer*simMeanFactor, 0.0
	requests := min(c.Parts[0].Capacity/(simMeanPrompt+answer/2), float64(c.Slots))
	for _, part := range c.Parts {
		read += part.ReadMillis
	}
	return 1000 * requests / (simMeanPrompt*read + answer*(c.StepMillis+c.StepMillisPerRequest*(requests-1)))
}

func simMaxRate(chains []spanrill.RoomChain) (sum float64) {
	for _, c := range chains {
		sum += simRate(c)
	}
	return sum
}

// simEngines are engines that refuse what they cannot hold.
type simEngines struct {
	holding map[uint32]spanrill.RoomUse
	gone    map[uint32]bool // first engines of chains that do not exist any more
}

// take takes the tokens of a request at each engine of a chain, or returns the engine that has no room.
func (e *simEngines) take(c spanrill.RoomChain, tokens int64) (full uint32) {
	for _, part := range c.Parts {
		use := e.holding[part.Engine]
		if float64(use.Tokens+tokens) > part.Capacity || use.Calls >= simSlots {
			return part.Engine
		}
	}
	e.add(c, tokens, 1)
	return 0
}

func (e *simEngines) add(c spanrill.RoomChain, tokens, calls int64) {
	for i, part := range c.Parts {
		use := e.holding[part.Engine]
		use.Tokens += tokens
		if i == 0 {
			use.Calls += calls
		}
		e.holding[part.Engine] = use
	}
}

// times returns how long a request takes until its first event and in whole, beside those that run.
func (e *simEngines) times(c spanrill.RoomChain, prompt int, answer float64) (first, whole spanrill.Millis) {
	read := 0.0
	for _, part := range c.Parts {
		read += part.ReadMillis
	}
	step := c.StepMillis + c.StepMillisPerRequest*float64(e.holding[c.First()].Calls-1)
	start := float64(prompt) * read
	return spanrill.Millis(math.Ceil(start + step)), spanrill.Millis(math.Ceil(start + answer*step))
}
