// Package cost estimates the times and the memory of engines that each hold a part of a model,
// from the figures that the operator configures for a service.
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
	perK       = 1000
	// bytesPerMilliPerMbps turns megabits a second into bytes a millisecond.
	bytesPerMilliPerMbps = 1e6 / 8 / 1000
)

// layerTokenMB returns the memory in MB that one token takes in one layer.
func layerTokenMB(m *spanrill.EngineModel) float64 {
	return m.KVTokenBytes / float64(max(1, m.Layers)) / bytesPerMB
}

// MaxLayers returns how many layers an engine of a kind has memory for, with no room for tokens.
func MaxLayers(m *spanrill.EngineModel, k spanrill.AcceleratorKind) int {
	if m.LayerMB <= 0 {
		return m.Layers
	}
	return min(m.Layers, int(k.MemoryMB/m.LayerMB))
}

// Capacity returns for how many tokens an engine has memory beside that many layers.
func Capacity(m *spanrill.EngineModel, k spanrill.AcceleratorKind, layers int) float64 {
	if layers <= 0 {
		return 0
	}
	free := k.MemoryMB - float64(layers)*m.LayerMB
	return max(0, free/(layerTokenMB(m)*float64(layers)))
}

// MaxLayersWithTokens returns how many layers an engine has memory for beside that many tokens.
func MaxLayersWithTokens(m *spanrill.EngineModel, k spanrill.AcceleratorKind, tokens float64) int {
	n := int(k.MemoryMB / (m.LayerMB + tokens*layerTokenMB(m)))
	return max(0, min(n, MaxLayers(m, k)))
}

// layerShare returns the fraction of the model that so many layers are.
func layerShare(m *spanrill.EngineModel, layers int) float64 {
	return float64(layers) / float64(max(1, m.Layers))
}

// StepBaseMillis returns the time of one step over some layers with an empty batch.
func StepBaseMillis(m *spanrill.EngineModel, k spanrill.AcceleratorKind, layers int) float64 {
	return m.StepMillis * k.StepFactor * layerShare(m, layers)
}

// StepMillisPerRequest returns the time that each request with that many tokens of context adds
// to a step over some layers.
func StepMillisPerRequest(m *spanrill.EngineModel, k spanrill.AcceleratorKind, layers int, context float64) float64 {
	return (m.StepMillisPerRequest + m.StepMillisPerKContext*context/perK) * k.StepFactor * layerShare(m, layers)
}

// ReadMillis returns the time to read prompt tokens (prefill) through some layers.
func ReadMillis(m *spanrill.EngineModel, k spanrill.AcceleratorKind, layers int, tokens float64) float64 {
	if m.PrefillTokensPerMilli <= 0 {
		return 0
	}
	return tokens / m.PrefillTokensPerMilli * k.PrefillFactor * layerShare(m, layers)
}

// HopMillis returns the delay between two availability zones, one way.
func HopMillis(m *spanrill.EngineModel, from, to string) float64 {
	if from == to {
		return 0
	}
	return m.ZoneDelayMillis[spanrill.ZonePairOf(from, to)]
}

// PipeMillis returns how long the activations of some tokens occupy the pipe (the network link)
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

// Stage is the part of an engine in a chain, as far as it determines times.
type Stage struct {
	Kind   spanrill.AcceleratorKind
	Zone   string
	Layers int
}

// TokenMillis returns the time between two tokens of a request on a chain with that many
// requests.
//
// A stage runs all requests that wait in one pass, so requests that meet stay together and end up
// in one large batch that cycles through the stages. Each pass then takes all requests. This
// agrees with measurements: 20 to 28 ms a token with 60 to 90 requests on 11 to 12 stages.
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

// handOverMillis is the time that a token takes from one engine to the next inside an
// availability zone.
const handOverMillis = 0.2

// PromptMillis returns the time to read a prompt on a chain.
func PromptMillis(m *spanrill.EngineModel, stages []Stage, tokens float64) float64 {
	total, zone := 0.0, ""
	for i, s := range stages {
		total += ReadMillis(m, s.Kind, s.Layers, tokens)
		if i > 0 && s.Zone != zone {
			total += PipeMillis(m, tokens) + HopMillis(m, zone, s.Zone)
		}
		zone = s.Zone
	}
	return total
}

// MinCapacity returns for how many tokens the stage with the least memory has room.
func MinCapacity(m *spanrill.EngineModel, stages []Stage) float64 {
	room := math.Inf(1)
	for _, s := range stages {
		room = min(room, Capacity(m, s.Kind, s.Layers))
	}
	return room
}

// plannedMemoryShare is the fraction of a chain's memory that is planned for: answers differ in
// length, and an engine that runs out of memory puts requests back.
const plannedMemoryShare = 0.85

// Rate returns how many usual requests a second a chain can serve: as many as have room at once,
// over the time that each takes (Little's law), and no more than its pipes carry.
func Rate(m *spanrill.EngineModel, stages []Stage) float64 {
	room := plannedMemoryShare * MinCapacity(m, stages)
	requests := min(room/MeanTokens(m), float64(max(1, m.Slots)), maxPlannedRequests)
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
// 70, and 100 when one of three is lost; engines that more room would take are worth more as
// spares.
const maxPlannedRequests = 105

// crossingRateFactor lowers the rate of a chain over several availability zones: its tokens queue
// behind prompts in the pipe, and slow links reach all of it. In trials, a fourth chain over
// two zones beside three inside zones made a tenth of all streams pause for too long.
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
