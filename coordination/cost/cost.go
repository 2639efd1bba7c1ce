// Package cost estimates how long engines that each hold a part of a model take, and how many
// tokens they have memory for, from the figures that the operator configures for a service.
//
// Placement and routing use the same functions, so that a placement plan and the choice between
// its chains agree.
//
// # Usage
//
//	k := model.Kinds["l4"]
//	tokens := cost.Capacity(model, k, 9)
//	ms := cost.StepBaseMillis(model, k, 9) + requests*cost.StepMillisPerRequest(model, k, 9, meanTokens)
package cost

import (
	"math"

	"spanrill"
)

const (
	bytesPerMB = 1e6
	perK       = 1000 // tokens in a K of context, and milliseconds in a second
	// bytesPerMilliPerMbps converts megabits per second into bytes per millisecond.
	bytesPerMilliPerMbps = 1e6 / 8 / 1000
)

// layerTokenMB returns the memory in MB that one token takes in one layer.
func layerTokenMB(m *spanrill.EngineModel) float64 {
	return m.KVTokenBytes / float64(max(1, m.Layers)) / bytesPerMB
}

// MaxLayers returns how many layers fit into the memory of an engine of a kind, without any tokens.
func MaxLayers(m *spanrill.EngineModel, k spanrill.AcceleratorKind) int {
	if m.LayerMB <= 0 {
		return m.Layers
	}
	return min(m.Layers, int(k.MemoryMB/m.LayerMB))
}

// Capacity returns how many tokens fit into the memory of an engine of a kind beside that many
// layers.
func Capacity(m *spanrill.EngineModel, k spanrill.AcceleratorKind, layers int) float64 {
	if layers <= 0 {
		return 0
	}
	free := k.MemoryMB - float64(layers)*m.LayerMB
	return max(0, free/(layerTokenMB(m)*float64(layers)))
}

// MaxLayersWithTokens returns how many layers fit into the memory of an engine of a kind if each
// layer also has to hold that many tokens.
func MaxLayersWithTokens(m *spanrill.EngineModel, k spanrill.AcceleratorKind, tokens float64) int {
	n := int(k.MemoryMB / (m.LayerMB + tokens*layerTokenMB(m)))
	return max(0, min(n, MaxLayers(m, k)))
}

// layerShare returns that many layers as a fraction of all layers of the model.
func layerShare(m *spanrill.EngineModel, layers int) float64 {
	return float64(layers) / float64(max(1, m.Layers))
}

// StepBaseMillis returns the time of one step over that many layers without any request.
func StepBaseMillis(m *spanrill.EngineModel, k spanrill.AcceleratorKind, layers int) float64 {
	return m.StepMillis * k.StepFactor * layerShare(m, layers)
}

// StepMillisPerRequest returns the time that each request with that many tokens of context adds
// to a step over that many layers.
func StepMillisPerRequest(m *spanrill.EngineModel, k spanrill.AcceleratorKind, layers int, contextTokens float64) float64 {
	return (m.StepMillisPerRequest + m.StepMillisPerKContext*contextTokens/perK) * k.StepFactor * layerShare(m, layers)
}

// PrefillMillis returns the time to process prompt tokens (prefill) in that many layers.
func PrefillMillis(m *spanrill.EngineModel, k spanrill.AcceleratorKind, layers int, tokens float64) float64 {
	if m.PrefillTokensPerMilli <= 0 {
		return 0
	}
	return tokens / m.PrefillTokensPerMilli * k.PrefillFactor * layerShare(m, layers)
}

// HopMillis returns the one-way delay from one availability zone to another, or 0 within a zone.
func HopMillis(m *spanrill.EngineModel, from, to string) float64 {
	if from == to {
		return 0
	}
	return m.ZoneDelayMillis[spanrill.ZonePairOf(from, to)]
}

// PipeMillis returns how long the activations of that many tokens occupy the pipe (the network link)
// between two availability zones.
func PipeMillis(m *spanrill.EngineModel, tokens float64) float64 {
	if m.ZoneLinkMbps <= 0 {
		return 0
	}
	return tokens * m.ActivationBytes / (m.ZoneLinkMbps * bytesPerMilliPerMbps)
}

// MeanTokens returns the mean number of tokens that a running request holds: its prompt and half
// of its answer.
func MeanTokens(m *spanrill.EngineModel) float64 {
	return max(1, m.MeanPromptTokens+m.MeanAnswerTokens/2)
}

// Stage describes the part that one engine has in a chain.
type Stage struct {
	Kind   spanrill.AcceleratorKind
	Zone   string
	Layers int
}

// TokenMillis returns the time between two tokens of a request on a chain with that many
// requests.
//
// A stage runs all waiting requests in one pass, so requests that meet at a stage stay together and
// end up in one large batch that cycles through the stages. The estimate therefore assumes that
// each pass runs all requests. It agrees with measurements: 20 to 28 ms a token with 60 to 90
// requests on 11 to 12 stages.
func TokenMillis(m *spanrill.EngineModel, stages []Stage, requests float64) float64 {
	if len(stages) == 0 {
		return math.Inf(1)
	}
	total, zone := 0.0, stages[0].Zone
	for _, s := range stages {
		total += StepBaseMillis(m, s.Kind, s.Layers) + StepMillisPerRequest(m, s.Kind, s.Layers, MeanTokens(m))*requests + HopMillis(m, zone, s.Zone)
		zone = s.Zone
	}
	return total + HopMillis(m, zone, stages[0].Zone) + handOverMillis*float64(len(stages))
}

// handOverMillis is the time to hand a token from one engine to the next, without the delay
// between availability zones.
const handOverMillis = 0.2

// PromptMillis returns the time that a chain takes to process a prompt of that many tokens,
// including the hops between availability zones.
func PromptMillis(m *spanrill.EngineModel, stages []Stage, tokens float64) float64 {
	total, zone := 0.0, ""
	for i, s := range stages {
		total += PrefillMillis(m, s.Kind, s.Layers, tokens)
		if i > 0 && s.Zone != zone {
			total += PipeMillis(m, tokens) + HopMillis(m, zone, s.Zone)
		}
		zone = s.Zone
	}
	return total
}

// MinCapacity returns how many tokens a chain can hold: as many as its stage with the least capacity.
func MinCapacity(m *spanrill.EngineModel, stages []Stage) float64 {
	least := math.Inf(1)
	for _, s := range stages {
		least = min(least, Capacity(m, s.Kind, s.Layers))
	}
	return least
}

// plannedMemoryShare is the fraction of a chain's memory that Rate plans to fill. The rest allows for
// answers of different lengths: an engine that runs out of memory preempts requests.
const plannedMemoryShare = 0.85

// Rate returns how many requests of mean size a chain can serve per second: the number that it can
// run at once, over the time that each takes (Little's law), and no more than its pipes carry.
func Rate(m *spanrill.EngineModel, stages []Stage) float64 {
	plannedTokens := plannedMemoryShare * MinCapacity(m, stages)
	requests := min(plannedTokens/MeanTokens(m), float64(max(1, m.Slots)), maxPlannedRequests)
	if requests < 1 {
		return 0
	}
	millis := PromptMillis(m, stages, m.MeanPromptTokens) + m.MeanAnswerTokens*TokenMillis(m, stages, requests)
	rate := requests / millis * perK
	if crossings := Crossings(stages); crossings > 0 {
		rate = min(rate, perK/PipeMillis(m, m.MeanPromptTokens+m.MeanAnswerTokens)*plannedPipeShare) * crossingRateFactor
	}
	return rate
}

// maxPlannedRequests bounds the concurrent requests that a chain is planned for. Chains run 50 to
// 70 requests, and 100 when one of three chains is lost. Engines that would add room for more are
// worth more as spares.
const maxPlannedRequests = 105

// crossingRateFactor lowers the rate of a chain over several availability zones: its tokens queue
// behind prompts in the pipe, and a slow link delays the whole chain. In trials, a fourth chain
// over two zones, beside three inside zones, made a tenth of all streams pause for too long.
const crossingRateFactor = 0.4

// plannedPipeShare is the fraction of a pipe that one chain is planned to use.
const plannedPipeShare = 0.7

// Crossings counts the hops of a chain between availability zones.
func Crossings(stages []Stage) int {
	count := 0
	for i := 1; i < len(stages); i++ {
		if stages[i].Zone != stages[i-1].Zone {
			count++
		}
	}
	return count
}
