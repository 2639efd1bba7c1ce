package layout

import (
	"spanrill"
	"spanrill/coordination/chain"
	"spanrill/coordination/cost"
)

// ChainInfo describes one chain of a layout, for people.
type ChainInfo struct {
	Zone      string                `json:"availability_zone"`
	Engines   []Engine              `json:"engines"`
	Holes     []spanrill.LayerRange `json:"holes,omitempty"`
	Crossings int                   `json:"crossings"`   // hops between availability zones
	Room      float64               `json:"room_tokens"` // at its tightest engine
	Rate      float64               `json:"requests_per_second"`
}

// Describe returns the chains that engines form by what they hold. A chain with
// holes has no rate.
func Describe(m *spanrill.EngineModel, engines []Engine) []ChainInfo {
	all := candidates(m, engines)
	byID := make(map[string]candidate, len(all))
	for _, e := range all {
		byID[e.ID] = e
	}
	chains, _ := chainsOf(m, all)
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
	s := stages(parts, ranges)
	info.Crossings, info.Room = cost.Crossings(s), cost.Room(m, s)
	if c.Whole() {
		info.Rate = cost.Rate(m, s)
	}
	return info
}

// Rate returns how many usual requests a second the whole chains of a layout can
// serve together.
func Rate(m *spanrill.EngineModel, engines []Engine) float64 {
	total := 0.0
	for _, c := range Describe(m, engines) {
		total += c.Rate
	}
	return total
}

// Loss is what the loss of one engine costs.
type Loss struct {
	Engine   string  `json:"engine"`
	Before   float64 `json:"before"`   // requests a second
	At       float64 `json:"at"`       // right after the loss
	Repaired float64 `json:"repaired"` // once the first round of repairs is done
	Loads    int     `json:"loads"`    // engines that load layers for it
}

// Losses returns the cost of losing each engine that belongs to a chain.
func Losses(m *spanrill.EngineModel, engines []Engine) []Loss {
	before := Rate(m, engines)
	var losses []Loss
	for _, c := range Describe(m, engines) {
		for _, lost := range c.Engines {
			rest := remove(engines, lost.ID)
			moves := Repair(m, rest)
			losses = append(losses, Loss{
				Engine: lost.ID, Before: before, At: Rate(m, rest), Repaired: Rate(m, Apply(rest, moves)), Loads: len(moves),
			})
		}
	}
	return losses
}

func remove(engines []Engine, id string) []Engine {
	rest := make([]Engine, 0, len(engines))
	for _, e := range engines {
		if e.ID != id {
			rest = append(rest, e)
		}
	}
	return rest
}

// Apply returns the engines as they are after the moves were carried out.
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
