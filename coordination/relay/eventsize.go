package relay

import (
	"math"
	"sync"

	"spanrill"
)

// eventTokenEstimator estimates how many tokens an event of a stream holds, from which the memory
// that running streams use on their engines is computed. It uses the number that the operator
// configured (the steps that an engine runs in one pass), or else the mean number of events of
// complete answers.
//
// A wrong number makes the reservations wrong: with two tokens assumed for engines that send five,
// a stream counted for 0.4 of its tokens.
type eventTokenEstimator struct {
	mu         sync.Mutex
	meanEvents map[string]float64 // mean number of events of a complete answer, by service
	samples    map[string]int     // complete answers, up to minAnswerSamples, by service
}

const (
	// defaultEventTokens is used while neither configuration nor samples give a number.
	defaultEventTokens = 2
	// minAnswerSamples is the number of complete answers from which their mean is used. The
	// standard deviation of lengths is about their mean, so that the mean of 16 is accurate to
	// about a quarter.
	minAnswerSamples = 16
	// maxEventTokens limits the estimate from samples.
	maxEventTokens = 64
)

func newEventTokenEstimator() *eventTokenEstimator {
	return &eventTokenEstimator{meanEvents: map[string]float64{}, samples: map[string]int{}}
}

// tokensPerEvent returns how many tokens an event of a service holds.
func (s *eventTokenEstimator) tokensPerEvent(service *spanrill.ServiceInfo) int {
	if configured := service.Model.TokensPerEvent; configured > 0 {
		return configured
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.samples[service.Name] < minAnswerSamples || service.Model.MeanAnswerTokens <= 0 {
		return defaultEventTokens
	}
	mean := service.Model.MeanAnswerTokens / s.meanEvents[service.Name]
	return int(min(maxEventTokens, max(1, math.Round(mean))))
}

// recordAnswer adds the number of events of an answer that arrived completely from its first event.
func (s *eventTokenEstimator) recordAnswer(service string, events int) {
	if events <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.samples[service] < minAnswerSamples {
		s.samples[service]++
	}
	s.meanEvents[service] += (float64(events) - s.meanEvents[service]) / float64(s.samples[service])
}
