package relay

import (
	"math"
	"sync"

	"spanrill"
)

// eventTokenEstimator estimates how many tokens an event of a stream holds. The memory that running
// streams use on their engines is computed from it. The number is the configured one (the steps
// that an engine runs in one pass), or else the configured mean number of tokens of an answer
// divided by the mean number of events of complete answers.
//
// A wrong number makes the reservations of memory wrong.
type eventTokenEstimator struct {
	mu         sync.Mutex
	meanEvents map[string]float64 // mean number of events of a complete answer, by service
	samples    map[string]int     // number of complete answers, up to minAnswerSamples, by service
}

const (
	// defaultEventTokens is used while neither configuration nor samples give a number.
	defaultEventTokens = 2
	// minAnswerSamples is the number of complete answers from which on their mean is used, and over
	// which it is smoothed.
	minAnswerSamples = 16
	// maxEventTokens limits the estimate from samples.
	maxEventTokens = 64
)

func newEventTokenEstimator() *eventTokenEstimator {
	return &eventTokenEstimator{meanEvents: map[string]float64{}, samples: map[string]int{}}
}

// tokensPerEvent returns how many tokens an event of a service holds.
func (e *eventTokenEstimator) tokensPerEvent(service *spanrill.ServiceInfo) int {
	if configured := service.Model.TokensPerEvent; configured > 0 {
		return configured
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.samples[service.Name] < minAnswerSamples || service.Model.MeanAnswerTokens <= 0 {
		return defaultEventTokens
	}
	tokens := service.Model.MeanAnswerTokens / e.meanEvents[service.Name]
	return int(min(maxEventTokens, max(1, math.Round(tokens))))
}

// recordAnswer adds the number of events of an answer that arrived completely from its first event.
func (e *eventTokenEstimator) recordAnswer(service string, events int) {
	if events <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.samples[service] < minAnswerSamples {
		e.samples[service]++
	}
	e.meanEvents[service] += (float64(events) - e.meanEvents[service]) / float64(e.samples[service])
}
