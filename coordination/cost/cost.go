// Package cost works out times and memory of engines that each hold a part of
// a model, from the figures that the operator gives for a service.
//
// Placement and routing use the same functions, so that a plan and the choice
// between its chains agree.
//
// # Usage
//
//	k := model.Kinds["l4"]
//	tokens := cost.Capacity(model, k, 9)
//	ms := cost.StepMillis(model, k, 9, writers, meanTokens)
package cost

import (
	"math"

	"spanrill"
)

const (
	bytesPerMB = 1e6
	perK       = 1000
	// bitsPerByte and megabit turn megabits a second into bytes a millisecond.
	bytesPerMilliOfMbps = 1e6 / 8 / 1000
)

// layerTokenMB is the memory of one token in one layer.
func layerTokenMB(m *spanrill.EngineModel) float64 {
	return m.TokenBytes / float64(max(1, m.Layers)) / bytesPerMB
}

// Fit returns how many layers an engine of a kind can hold at all.
func Fit(m *spanrill.EngineModel, k spanrill.KindModel) int {
	if m.LayerMB <= 0 {
		return m.Layers
	}
	return min(m.Layers, int(k.MemoryMB/m.LayerMB))
}

// Capacity returns for how many tokens an engine has memory beside n layers.
func Capacity(m *spanrill.EngineModel, k spanrill.KindModel, n int) float64 {
	if n <= 0 {
		return 0
	}
	free := k.MemoryMB - float64(n)*m.LayerMB
	return max(0, free/(layerTokenMB(m)*float64(n)))
}

// Most returns how many layers an engine can hold beside memory for that many
// tokens.
func Most(m *spanrill.EngineModel, k spanrill.KindModel, tokens float64) int {
	n := int(k.MemoryMB / (m.LayerMB + tokens*layerTokenMB(m)))
	return max(0, min(n, Fit(m, k)))
}

// share is the part of the model that n layers are.
func share(m *spanrill.EngineModel, n int) float64 {
	return float64(n) / float64(max(1, m.Layers))
}

// Base returns the time of one step over n layers with nothing to do in it.
func Base(m *spanrill.EngineModel, k spanrill.KindModel, n int) float64 {
	return m.StepMillis * k.Pace * share(m, n)
}

// PerWriter returns the time that each request with that many tokens of
// context adds to a step over n layers.
func PerWriter(m *spanrill.EngineModel, k spanrill.KindModel, n int, context float64) float64 {
	return (m.PerSequence + m.ContextPerK*context/perK) * k.Pace * share(m, n)
}

// ReadMillis returns the time to read prompt tokens through n layers.
func ReadMillis(m *spanrill.EngineModel, k spanrill.KindModel, n int, tokens float64) float64 {
	if m.ReadPerMilli <= 0 {
		return 0
	}
	return tokens / m.ReadPerMilli * k.ReadFactor * share(m, n)
}

// HopMillis returns the delay between two availability zones, one way.
func HopMillis(m *spanrill.EngineModel, from, to string) float64 {
	if from == to {
		return 0
	}
	return m.Delays[spanrill.PairOf(from, to)]
}

// PipeMillis returns how long the activations of some tokens occupy the pipe
// between two availability zones.
func PipeMillis(m *spanrill.EngineModel, tokens float64) float64 {
	if m.PipeMbps <= 0 {
		return 0
	}
	return tokens * m.ActBytes / (m.PipeMbps * bytesPerMilliOfMbps)
}

// Tokens returns the mean tokens that a running request holds: its prompt and
// half of its answer.
func Tokens(m *spanrill.EngineModel) float64 {
	return max(1, m.UsualPrompt+m.UsualAnswer/2)
}

// Stage is one engine of a chain, for its times.
type Stage struct {
	Kind   spanrill.KindModel
	Zone   string
	Layers int
}

// TokenMillis returns the time between two tokens of a request on a chain
// with that many requests.
//
// A stage takes all requests that wait in one pass, so that requests that meet
// stay together: in the end one large batch goes round. Each pass then takes
// all requests, which agrees with what was measured (20 to 28 ms a token with 60
// to 90 requests on 11 to 12 stages).
func TokenMillis(m *spanrill.EngineModel, stages []Stage, requests float64) float64 {
	if len(stages) == 0 {
		return math.Inf(1)
	}
	total, zone := 0.0, stages[0].Zone
	for _, s := range stages {
		total += Base(m, s.Kind, s.Layers) + PerWriter(m, s.Kind, s.Layers, Tokens(m))*requests + HopMillis(m, zone, s.Zone)
		zone = s.Zone
	}
	return total + HopMillis(m, zone, stages[0].Zone) + handOver*float64(len(stages))
}

// handOver is the time in milliseconds that a token takes from one engine to
// the next inside an availability zone.
const handOver = 0.2

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

// Room returns for how many tokens the tightest stage of a chain has memory.
func Room(m *spanrill.EngineModel, stages []Stage) float64 {
	room := math.Inf(1)
	for _, s := range stages {
		room = min(room, Capacity(m, s.Kind, s.Layers))
	}
	return room
}

// usableRoom is the part of a chain's memory that is planned for: answers
// differ in length, and an engine that runs out puts requests back.
const usableRoom = 0.85

// Rate returns how many usual requests a second a chain can serve: as many as
// have room at once (Little's law), and no more than its pipes take.
func Rate(m *spanrill.EngineModel, stages []Stage) float64 {
	room := usableRoom * Room(m, stages)
	requests := min(room/Tokens(m), float64(max(1, m.Slots)), usefulRequests)
	if requests < 1 {
		return 0
	}
	millis := PromptMillis(m, stages, m.UsualPrompt) + m.UsualAnswer*TokenMillis(m, stages, requests)
	rate := requests / millis * perK
	if crossings := Crossings(stages); crossings > 0 {
		rate = min(rate, perK/PipeMillis(m, m.UsualPrompt+m.UsualAnswer)*pipeShare) * crossingWorth
	}
	return rate
}

// usefulRequests is how many requests at once one chain is planned for at most.
// Chains of today run 50 to 70, and 100 when one of three is lost; engines that
// are not needed for more room are worth more as spares.
const usefulRequests = 105

// crossingWorth is what a chain over several availability zones is worth of one
// inside a zone: its tokens wait behind prompts in the pipe, and slow links
// reach it. In trials a fourth chain over two zones beside three inside zones
// made a tenth of all streams pause for too long.
const crossingWorth = 0.4

// pipeShare is the part of a pipe that one chain is planned to use.
const pipeShare = 0.7

// Crossings counts the hops of a chain between availability zones.
func Crossings(stages []Stage) int {
	n := 0
	for i := 1; i < len(stages); i++ {
		if stages[i].Zone != stages[i-1].Zone {
			n++
		}
	}
	return n
}
