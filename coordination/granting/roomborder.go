package granting

import (
	"strings"

	"spanrill"
	"spanrill/protocol/peermsg"
)

// Limits for what other daemons send. Values beyond them are errors, and are replaced by the nearest
// valid value or ignored.
const (
	maxTokens          = 10_000_000 // of a prompt or an answer
	maxNeedWait        = 10 * spanrill.Minute
	maxRemaining       = 60 * spanrill.Minute
	maxPause           = spanrill.Minute
	maxAvoid           = 1024 // engines that a request avoids
	maxRefusedBy       = 64   // engines that one message names as having refused
	maxReportedLoadAge = 10 * spanrill.Second
	maxEngineRequests  = 1_000_000
	maxNameLength      = 256 // bytes of the name of a daemon, an account or an availability zone, or of an address
)

// validNames reports whether the names in a request may be kept.
func validNames(req *peermsg.RoomRequest) bool {
	return req.Daemon != "" && max(len(req.Daemon), len(req.Addr), len(req.Zone)) <= maxNameLength
}

// accountOf returns the name of a client account within the limit. It does not keep a longer one.
func accountOf(name string) string {
	if len(name) <= maxNameLength {
		return name
	}
	return strings.Clone(name[:maxNameLength])
}

// classOf returns the class of a priority.
func classOf(priority int) spanrill.Class {
	class, _ := spanrill.ClassOf(priority) // it returns the default class for an invalid one
	return class
}

// clampTokens returns a number of tokens within the limits.
func clampTokens(n int) int { return min(max(0, n), maxTokens) }

// needOf returns the need of a request within the limits.
func needOf(req *peermsg.RoomRequest) spanrill.RoomNeed {
	return spanrill.RoomNeed{
		Prompt: clampTokens(req.Prompt), Answer: clampTokens(req.Answer), Class: classOf(req.Class),
		Zone: req.Zone, Avoid: setOf(atMost(req.Avoid, maxAvoid)),
		Pause:   min(max(0, req.Pause), maxPause),
		Patient: min(max(0, req.MaxWait), maxNeedWait),
	}
}

// atMost returns the first n elements.
func atMost(engines []uint32, n int) []uint32 { return engines[:min(len(engines), n)] }

// setOf returns a set of engines, or nil if there are none.
func setOf(engines []uint32) map[uint32]bool {
	if len(engines) == 0 {
		return nil
	}
	set := make(map[uint32]bool, len(engines))
	for _, engine := range engines {
		set[engine] = true
	}
	return set
}
