package layout

import (
	"spanrill"
	"spanrill/coordination/chain"
	"spanrill/coordination/cost"
)

// ChainInfo describes one chain of a layout for display.
type ChainInfo struct {
	Zone           string                `json:"availability_zone"`
	Engines        []Engine              `json:"engines"`
	Holes          []spanrill.LayerRange `json:"holes,omitempty"`
	Crossings      int                   `json:"crossings"`   // hops between availability zones
	CapacityTokens float64               `json:"room_tokens"` // tokens that fit into the engine with the least free memory
	Rate           float64               `json:"requests_per_second"`
}

// Describe returns the chains formed by the layers that the engines hold. A chain with
// holes has rate 0.
func Describe(m *spanrill.EngineModel, engines []Engine) []ChainInfo {
	all := candidates(m, engines)
	byID := make(map[string]candidate, len(all))
	for _, e := range all {
		byID[e.ID] = e
	}
	chains, _ := readChains(m, all)
	infos := make([]ChainInfo, 0, len(chains))
	for _, c := range chains {
		infos = append(infos, describe(m, c, byID))
	}
	return infos
}

func describe(m *spanrill.EngineModel, c *chain.Chain, byID map[string]candidate) ChainInfo {
	info := ChainInfo{Zone: c.Zone(), Holes: c.Holes()}
	var parts []candidate
	var ranges []spanrill.LayerRange
	for _, p := range c.Parts() {
		parts = append(parts, byID[p.ID])
		ranges = append(ranges, p.Layers)
		info.Engines = append(info.Engines, byID[p.ID].Engine)
	}
	stages := costStages(parts, ranges)
	info.Crossings, info.CapacityTokens = cost.Crossings(stages), cost.MinCapacity(m, stages)
	if c.Complete() {
		info.Rate = cost.Rate(m, stages)
	}
	return info
}

// Rate returns how many usual requests per second the complete chains of a layout
// serve together.
func Rate(m *spanrill.EngineModel, engines []Engine) float64 {
	total := 0.0
	for _, c := range Describe(m, engines) {
		total += c.Rate
	}
	return total
}

// Loss describes the effect of losing one engine.
type Loss struct {
	Engine        string  `json:"engine"`
	RateBefore    float64 `json:"before"`   // requests per second before the loss
	RateAfterLoss float64 `json:"at"`       // requests per second right after the loss
	RateRepaired  float64 `json:"repaired"` // requests per second after the first round of repairs
	Loads         int     `json:"loads"`    // engines that load layers for the repair
}

// Losses returns the effect of losing each engine that belongs to a chain.
func Losses(m *spanrill.EngineModel, engines []Engine) []Loss {
	before := Rate(m, engines)
	var losses []Loss
	for _, c := range Describe(m, engines) {
		for _, lost := range c.Engines {
			remaining := withoutEngine(engines, lost.ID)
			moves := Repair(m, remaining)
			losses = append(losses, Loss{
				Engine: lost.ID, RateBefore: before, RateAfterLoss: Rate(m, remaining), RateRepaired: Rate(m, Apply(remaining, moves)), Loads: len(moves),
			})
		}
	}
	return losses
}

func withoutEngine(engines []Engine, id string) []Engine {
	remaining := make([]Engine, 0, len(engines))
	for _, e := range engines {
		if e.ID != id {
			remaining = append(remaining, e)
		}
	}
	return remaining
}

// Apply returns the engines as they are after the moves have been carried out.
func Apply(engines []Engine, moves []Move) []Engine {
	out := append([]Engine(nil), engines...)
	for _, m := range moves {
		for i := range out {
			if out[i].ID == m.Engine {
				out[i].Layers = m.Layers
			}
		}
	}
	return out
}
