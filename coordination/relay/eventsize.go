package relay

import (
	"math"
	"sync"

	"spanrill"
)

// eventSizes knows how many tokens an event of a stream holds, for what running streams
// hold of their engines' memory: the operator tells it, as the steps that an engine plays
// in a pass, and where he does not, whole answers do.
//
// On engines that give five tokens an event, streams were counted to hold 0.4 of what
// they wrote when two tokens were assumed everywhere.
type eventSizes struct {
	mu     sync.Mutex
	events map[string]float64 // smoothed events of a whole answer, by service
	seen   map[string]int     // whole answers, up to answersNeeded
}

const (
	// assumedTokens is what an event is taken to hold before anything is known.
	assumedTokens = 2
	// answersNeeded is the whole answers from which their mean is used: lengths vary by
	// about as much as their mean, so that the mean of 16 is right within a quarter.
	answersNeeded = 16
	// mostTokens bounds what is observed.
	mostTokens = 64
)

func newEventSizes() *eventSizes {
	return &eventSizes{events: map[string]float64{}, seen: map[string]int{}}
}

// tokens returns how many tokens an event of a service holds.
func (s *eventSizes) tokens(service *spanrill.ServiceInfo) int {
	if told := service.Model.EventTokens; told > 0 {
		return told
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen[service.Name] < answersNeeded || service.Model.UsualAnswer <= 0 {
		return assumedTokens
	}
	mean := service.Model.UsualAnswer / s.events[service.Name]
	return int(min(mostTokens, max(1, math.Round(mean))))
}

// note takes the events of an answer that arrived whole from its beginning.
func (s *eventSizes) note(service string, events int) {
	if events <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen[service] < answersNeeded {
		s.seen[service]++
	}
	s.events[service] += (float64(events) - s.events[service]) / float64(s.seen[service])
}
