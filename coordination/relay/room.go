package relay

import (
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/coordination/chainrouting"
	"spanrill/events"
	"spanrill/state/fleet"
)

// roomHold is the room that the daemons have given a request.
//
// Before its first event, each attempt of a request starts with a grant. The grant is held until the
// path of the attempt is released: at the end of the request, when the attempt fails, or when a
// continuation on another path replaces it. A move keeps the grant, because the first engine stays.
// Continuations start without a grant: their callers wait already.
type roomHold struct {
	grant     spanrill.RoomGrant // of the running attempt, or nil
	refusedBy []uint32           // engines that have refused the request since it last asked for room
	unusable  map[uint32]bool    // first engines of granted chains that this daemon could not use
}

// release gives the room back, if any is held.
func (h *roomHold) release() {
	if h.grant != nil {
		h.grant.Release()
		h.grant = nil
	}
}

// recordRoomRefusal records that an engine has refused an attempt for lack of room, so that it is
// named when the request asks for room again. The attempt was sent to first.
func (g *generation) recordRoomRefusal(first *fleet.Upstream, failure *sendError) {
	if !g.dividesRoom() || !failure.lacksRoom(g.relay.Clock.Now()) {
		return
	}
	g.room.refusedBy = append(g.room.refusedBy, failure.engineAtFault.Key())
	if g.room.grant != nil && first == g.firstEngine {
		g.relay.roomCounts.engineRefused.Add(1)
	}
}

// lacksRoom reports whether an engine refused for lack of room, as far as this daemon knows. Engines
// that leave, have terminated, rest, limit their requests or lack the layers refuse whatever room
// they have. The request avoids them in any case.
func (e *sendError) lacksRoom(now spanrill.Millis) bool {
	u := e.engineAtFault
	return !e.misdirected && !e.unknownFault && !u.Dead() && !u.Ended() && u.CheckSend(now) == nil
}

// roomCounts counts what became of requests for room.
type roomCounts struct{ granted, waited, refused, unusable, engineRefused atomic.Uint64 }

// RoomCounts tells what became of requests for room at this daemon.
type RoomCounts struct {
	Granted       uint64 // grants
	Waited        uint64 // grants and refusals after a wait
	Refused       uint64 // refusals, without those of requests whose callers had left
	Unusable      uint64 // grants on chains that this daemon could not use
	EngineRefused uint64 // refusals by engines of requests that had a grant
}

// RoomCounts returns what became of requests for room since the start of this daemon.
func (r *Relay) RoomCounts() RoomCounts {
	c := &r.roomCounts
	return RoomCounts{Granted: c.granted.Load(), Waited: c.waited.Load(), Refused: c.refused.Load(), Unusable: c.unusable.Load(), EngineRefused: c.engineRefused.Load()}
}

const (
	// roomWaitThreshold is the time from which on a request for room counts as having waited: several
	// round trips between daemons.
	roomWaitThreshold spanrill.Millis = 10
	// maxUnusableGrants is how many grants a request gives back because this daemon cannot use their
	// chains. Then this daemon chooses the path. Its view of the engines differs from that of the
	// granting daemon, but the room exists, and refusing the request would lose it.
	maxUnusableGrants = 2
)

// dividesRoom reports whether an attempt needs a grant. Attempts of streams that have begun do not.
func (g *generation) dividesRoom() bool {
	gate := g.relay.Room
	return gate != nil && !g.begun && g.service.Model != nil && gate.Divides(g.service.Name)
}

// findGrantedPath asks for room and builds the path that was granted. It may wait for room.
func (g *generation) findGrantedPath() *spanrill.Refusal {
	for range maxUnusableGrants {
		if refusal := g.enterRoom(); refusal != nil {
			return refusal
		}
		first := g.room.grant.First()
		if first == 0 {
			return g.chooseOwnPath()
		}
		path, err := g.pickGranted(first)
		if err == nil {
			return g.usePath(path)
		}
		g.giveBackUnusable(first, err)
	}
	return g.chooseOwnPath()
}

// enterRoom asks for room and holds the grant.
func (g *generation) enterRoom() *spanrill.Refusal {
	r, askedAt := g.relay, g.relay.Clock.Now()
	grant, refusal := r.Room.Enter(g.ctx, g.roomRequest())
	g.room.refusedBy = nil
	waited := r.Clock.Now() - askedAt
	r.Meters.QueueWait.Update(float64(waited) / float64(spanrill.Second))
	if waited >= roomWaitThreshold {
		r.roomCounts.waited.Add(1)
	}
	if refusal == nil {
		r.roomCounts.granted.Add(1)
		g.room.grant = grant
		return nil
	}
	if g.ctx.Err() != nil {
		return g.endedRefusal(g.mayHaveRun)
	}
	r.roomCounts.refused.Add(1)
	return refusal
}

// errUnknownEngine means that this daemon does not know an engine.
var errUnknownEngine = errors.New("engine is not known")

// pickGranted returns the path that begins at the engine with that key.
func (g *generation) pickGranted(first uint32) (*chainrouting.Path, error) {
	engine := g.relay.Fleet.View().ByKey(first)
	if engine == nil {
		return nil, errUnknownEngine
	}
	need := g.pathNeed(false)
	if need.First != nil && !need.First[engine.ID()] {
		return nil, errors.Errorf("engine %s would be one more than the route allows", engine.ID())
	}
	need.First, need.Granted = map[string]bool{engine.ID(): true}, true
	return g.relay.Router.Pick(g.service.Name, g.service.Model, need)
}

// giveBackUnusable gives a grant back whose chain this daemon cannot use, and excludes its first
// engine from further grants of this request.
func (g *generation) giveBackUnusable(first uint32, err error) {
	g.room.release()
	if g.room.unusable == nil {
		g.room.unusable = map[uint32]bool{}
	}
	g.room.unusable[first] = true
	g.relay.roomCounts.unusable.Add(1)
	g.relay.failureLog.Log(events.RoomGrantUnusable, g.relay.Log, func() logrus.Fields {
		f := g.logFields()
		f["granted"], f["own_choice"], f["error"] = g.engineName(first), len(g.room.unusable) == maxUnusableGrants, err
		return f
	})
}

// engineName returns the id of the engine with that key, or the key if the engine is not known.
func (g *generation) engineName(key uint32) any {
	if u := g.relay.Fleet.View().ByKey(key); u != nil {
		return u.ID()
	}
	return key
}

// roomRequest describes the request to those who divide the room.
func (g *generation) roomRequest() spanrill.RoomRequest {
	need := g.pathNeed(false)
	class := g.table.Class(g.service.Name, g.route, g.account)
	patient := max(0, g.route.LatencyTarget-(g.relay.Clock.Now()-g.start))
	r := spanrill.RoomRequest{
		Service: g.service.Name, Model: g.service.Model, Content: uint64(g.content),
		Need: spanrill.RoomNeed{
			Prompt: need.Prompt, Answer: need.Answer, Class: class, Zone: need.Zone, Avoid: g.avoidedKeys(need.First),
			Pause: g.route.PauseTarget, Events: g.service.Model.TokensPerEvent, Patient: patient,
		},
		MaxWait: min(patient, max(0, g.remaining())), Remaining: max(0, g.remaining()), RefusedBy: g.room.refusedBy,
	}
	if g.account != nil {
		r.Account = g.account.Name
	}
	return r
}

// avoidedKeys returns the keys of the engines that the request must not use. Allowed are the ids of
// the engines at which its path may begin, or nil if any may.
func (g *generation) avoidedKeys(allowed map[string]bool) map[uint32]bool {
	keys := make(map[uint32]bool, len(g.avoid)+len(g.room.unusable))
	for id := range g.avoid {
		keys[fleet.KeyOf(id)] = true
	}
	for key := range g.room.unusable {
		keys[key] = true
	}
	if allowed == nil {
		return keys
	}
	for _, u := range g.relay.Fleet.View().ByService(g.service.Name) {
		if u.Layers().From == 0 && !allowed[u.ID()] {
			keys[u.Key()] = true
		}
	}
	return keys
}

// plannedReturn returns the retry time of a caller that is refused by an engine or by this daemon
// itself. It returns undivided if the daemons do not divide the room.
func (g *generation) plannedReturn(undivided spanrill.Millis) spanrill.Millis {
	if !g.dividesRoom() {
		return undivided
	}
	return g.relay.Room.RetryAfter(g.roomRequest())
}
