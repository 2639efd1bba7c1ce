package relay

import (
	"testing"

	"spanrill"
)

// The configured number of tokens per event has precedence over the estimate from complete answers.
func TestTokensPerEvent(t *testing.T) {
	for _, c := range []struct {
		name       string
		configured int
		meanTokens float64
		answers    []int // number of events of each complete answer
		want       int
	}{
		{"configured", 5, 170, nil, 5},
		{"configured, although answers say otherwise", 5, 170, repeat(170, 40), 5},
		{"no answers", 0, 170, nil, defaultEventTokens},
		{"too few answers", 0, 170, repeat(34, minAnswerSamples-1), defaultEventTokens},
		{"enough answers", 0, 170, repeat(34, minAnswerSamples), 5},
		{"answers of different lengths", 0, 170, append(repeat(17, 20), repeat(51, 20)...), 4},
		{"one token per event", 0, 170, repeat(170, minAnswerSamples), 1},
		{"more events than tokens", 0, 17, repeat(170, minAnswerSamples), 1},
		{"mean answer length not configured", 0, 0, repeat(34, minAnswerSamples), defaultEventTokens},
		{"empty answers are ignored", 0, 170, repeat(0, minAnswerSamples), defaultEventTokens},
	} {
		t.Run(c.name, func(t *testing.T) {
			estimator := newEventTokenEstimator()
			for _, events := range c.answers {
				estimator.recordAnswer("s", events)
			}
			service := &spanrill.ServiceInfo{Name: "s", Model: &spanrill.EngineModel{TokensPerEvent: c.configured, MeanAnswerTokens: c.meanTokens}}
			if got := estimator.tokensPerEvent(service); got != c.want {
				t.Fatalf("got %d tokens per event, want %d", got, c.want)
			}
		})
	}
}

func repeat(events, n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = events
	}
	return all
}
