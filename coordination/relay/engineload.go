package relay

import (
	"strconv"
	"strings"

	"spanrill/state/fleet"
)

// maxToldRequests is the largest number of requests that an engine is believed to have: far more
// than the slots of any engine.
const maxToldRequests = 1_000_000

// parseEngineLoad returns the number of requests at an engine, running or waiting, from the load
// figures of an answer: "running,waiting,slots". It reports false for any other text.
func parseEngineLoad(text string) (requests int, ok bool) {
	fields := strings.Split(text, ",")
	if len(fields) != 3 {
		return 0, false
	}
	var figures [3]int
	for i, field := range fields {
		n, err := strconv.ParseUint(field, 10, 32)
		if err != nil || n > maxToldRequests {
			return 0, false
		}
		figures[i] = int(n)
	}
	return figures[0] + figures[1], true
}

// recordEngineLoad passes on the load that a first engine has told in an answer, if the room of the
// service is divided. It ignores a text that is not valid.
func (r *Relay) recordEngineLoad(service string, first *fleet.Upstream, text string) {
	if text == "" || r.Room == nil || !r.Room.Divides(service) {
		return
	}
	if requests, ok := parseEngineLoad(text); ok {
		r.Room.RecordEngineLoad(first.Key(), requests)
	}
}
