package relay

import (
	"maps"

	"github.com/pkg/errors"

	"spanrill"
	"spanrill/coordination/chainrouting"
)

// pathNeed returns what the request needs of a path. An urgent request may use all of the memory of
// the engines.
func (g *generation) pathNeed(urgent bool) chainrouting.Need {
	answerTokens := g.head.ExpectedTokens
	if answerTokens == 0 && g.service.Model != nil {
		answerTokens = int(g.service.Model.MeanAnswerTokens)
	}
	if g.head.MaxTokens > 0 {
		answerTokens = min(answerTokens, g.head.MaxTokens)
	}
	return chainrouting.Need{
		Prompt: g.head.PromptTokens, Answer: answerTokens, Zone: g.relay.options.Zone, Avoid: g.avoid,
		Urgent: urgent || g.priority() == 0, Spread: g.begun, First: g.allowedFirstEngines(),
	}
}

// pickPath chooses and reserves a path: a chain of engines, or an upstream of a plain service.
func (g *generation) pickPath(need chainrouting.Need) (*chainrouting.Path, error) {
	if g.service.Model != nil {
		return g.relay.Router.Pick(g.service.Name, g.service.Model, need)
	}
	u := g.pickPlain(g.excludedUpstreams(need))
	if u == nil {
		return nil, errNoUpstream
	}
	return g.relay.Router.PathTo(u), nil
}

// excludedUpstreams returns the ids of the service's upstreams that must not be used.
func (g *generation) excludedUpstreams(need chainrouting.Need) map[string]bool {
	if need.First == nil {
		return need.Avoid
	}
	excluded := maps.Clone(need.Avoid)
	for _, u := range g.relay.Fleet.View().ByService(g.service.Name) {
		if !need.First[u.ID()] {
			excluded[u.ID()] = true
		}
	}
	return excluded
}

// errNoUpstream means that no upstream of a plain service can be used.
var errNoUpstream = errors.New("no upstream of the service takes requests")

// isCovered reports whether a path runs the whole model of the service, if it has one.
func (g *generation) isCovered(path *chainrouting.Path) bool {
	return g.service.Model == nil || path.Covers(g.service.Model.Layers)
}

// findPath chooses a path for a request that no engine has answered yet, or returns a refusal. If
// the daemons divide the room of the service, it asks for room first.
func (g *generation) findPath() *spanrill.Refusal {
	if g.dividesRoom() {
		return g.findGrantedPath()
	}
	return g.chooseOwnPath()
}

// chooseOwnPath chooses a path by what this daemon knows of the load, or returns a refusal. It does
// not wait until a chain has room, because other requests may take the room first. A refused caller
// gets a retry time of its own instead.
func (g *generation) chooseOwnPath() *spanrill.Refusal {
	path, err := g.pickPath(g.pathNeed(false))
	if err != nil {
		return g.noPathRefusal(err)
	}
	return g.usePath(path)
}

// usePath makes a path that of the next attempt. It returns a refusal if the path is invalid.
func (g *generation) usePath(path *chainrouting.Path) *spanrill.Refusal {
	if !g.isCovered(path) {
		path.Release()
		return spanrill.NewRefusal(spanrill.ReasonInternal, "path %s does not run every layer once", path)
	}
	g.setPath(path)
	g.firstEngine = path.First()
	return nil
}

// noPathRefusal returns the refusal of a request for which the router found no path.
func (g *generation) noPathRefusal(err error) *spanrill.Refusal {
	if g.ctx.Err() != nil {
		return g.endedRefusal(g.mayHaveRun)
	}
	g.considered = consideredChains(err)
	if g.service.Model == nil || errors.Is(err, chainrouting.ErrResting) || errors.Is(err, chainrouting.ErrLimited) {
		if refusal := g.limitOrRestRefusal(); refusal != nil {
			return refusal
		}
	}
	full := errors.Is(err, chainrouting.ErrNoRoom)
	switch {
	case g.service.Model == nil:
		return spanrill.NewRefusal(spanrill.ReasonNoUpstream, "%v", err).WithRetryAfter(plainRetryAfter)
	case full && g.dividesRoom():
		return spanrill.NewRefusal(spanrill.ReasonChainsFull, "%v", err).WithRetryAfter(g.plannedReturn(fullRetryAfter))
	case full:
		wait, gap := g.relay.roomRetries.take(g.relay.Clock.Now())
		return spanrill.NewRefusal(spanrill.ReasonChainsFull, "%v, requests end every %d ms", err, gap).WithRetryAfter(wait)
	}
	return spanrill.NewRefusal(spanrill.ReasonNoChain, "%v", err).WithRetryAfter(max(missingLayersRetryAfter, g.plannedReturn(missingLayersRetryAfter)))
}
