package granting

import (
	"cmp"
	"slices"

	"spanrill"
	"spanrill/protocol/peermsg"
)

const (
	// maxLoadAge is the age from which the load of an engine is not reported any more: the granting
	// daemon has newer figures of all daemons by then.
	maxLoadAge = 2 * spanrill.Second
	// maxLoadsReported is the maximum number of loads in a report.
	maxLoadsReported = 64
	// maxLoads is the maximum number of engines whose loads are kept.
	maxLoads = 1024
)

// engineLoads keeps what each first engine has told last, until it is reported.
type engineLoads map[uint32]loadAt

type loadAt struct {
	requests int
	at       spanrill.Millis
}

// record keeps the requests at an engine.
func (l engineLoads) record(now spanrill.Millis, engine uint32, requests int) {
	if engine == 0 || requests < 0 {
		return
	}
	if _, known := l[engine]; !known && len(l) >= maxLoads {
		l.prune(now)
		if len(l) >= maxLoads {
			return
		}
	}
	l[engine] = loadAt{requests, now}
}

// take removes and returns loads of engines that match, the newest first.
func (l engineLoads) take(now spanrill.Millis, engines map[uint32]bool) []peermsg.RoomEngine {
	l.prune(now)
	var loads []peermsg.RoomEngine
	for engine, load := range l {
		if engines[engine] {
			loads = append(loads, peermsg.RoomEngine{Engine: engine, Requests: load.requests, Age: now - load.at})
		}
	}
	slices.SortFunc(loads, func(a, b peermsg.RoomEngine) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Engine, b.Engine))
	})
	loads = loads[:min(len(loads), maxLoadsReported)]
	for _, load := range loads {
		delete(l, load.Engine)
	}
	return loads
}

// prune removes loads that are too old.
func (l engineLoads) prune(now spanrill.Millis) {
	for engine, load := range l {
		if now-load.at > maxLoadAge {
			delete(l, engine)
		}
	}
}
