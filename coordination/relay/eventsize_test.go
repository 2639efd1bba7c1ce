package relay

import (
	"testing"

	"spanrill"
)

// What is told of an event's tokens is used, and else what whole answers show.
func TestEventSizes(t *testing.T) {
	for _, c := range []struct {
		name    string
		told    int
		usual   float64
		answers []int // events of whole answers
		want    int
	}{
		{"told", 5, 170, nil, 5},
		{"told, whatever answers show", 5, 170, repeat(170, 40), 5},
		{"nothing is known", 0, 170, nil, assumedTokens},
		{"too few answers", 0, 170, repeat(34, answersNeeded-1), assumedTokens},
		{"answers show it", 0, 170, repeat(34, answersNeeded), 5},
		{"answers that differ", 0, 170, append(repeat(17, 20), repeat(51, 20)...), 4},
		{"one token an event", 0, 170, repeat(170, answersNeeded), 1},
		{"more events than tokens", 0, 17, repeat(170, answersNeeded), 1},
		{"no usual answer is told", 0, 0, repeat(34, answersNeeded), assumedTokens},
		{"empty answers tell nothing", 0, 170, repeat(0, answersNeeded), assumedTokens},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newEventSizes()
			for _, events := range c.answers {
				s.note("s", events)
			}
			service := &spanrill.ServiceInfo{Name: "s", Model: &spanrill.EngineModel{EventTokens: c.told, UsualAnswer: c.usual}}
			if got := s.tokens(service); got != c.want {
				t.Fatalf("%d tokens an event, want %d", got, c.want)
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
