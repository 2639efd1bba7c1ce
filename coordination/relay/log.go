package relay

import (
	"strings"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/coordination/chainrouting"
	"spanrill/coordination/quarantine"
	"spanrill/events"
	"spanrill/state/fleet"
)

// logFields returns the fields of each log line about a request: its id and what is known about it
// so far, the configuration by which it was routed, and the age of that configuration.
func (q *request) logFields() logrus.Fields {
	r := q.relay
	f := logrus.Fields{"request": q.head.ID, "ms": r.Clock.Now() - q.start, "sends": q.sends}
	if q.table != nil {
		f["config"], f["config_revision"] = q.table.Version(), r.Config.Revision()
		if q.proofAge < -spanrill.Never {
			f["proof_age_ms"] = q.proofAge
		}
	}
	if q.route != nil {
		f["route"], f["repeat"] = q.route.Name, q.route.Repeat.String()
		f["target_ms"], f["pause_target_ms"] = q.route.LatencyTarget, q.route.PauseTarget
	}
	if q.service != nil {
		f["service"] = q.service.Name
	}
	if q.deadline > 0 {
		f["content"] = q.content.String()
	}
	if q.partGuard != nil && len(q.partGuard.Parts()) > 0 {
		f["parts"] = joinParts(q.partGuard.Parts())
	}
	if q.account != nil {
		f["account"] = q.account.Name
	}
	if q.deadline > 0 {
		f["left_ms"] = q.remaining()
	}
	return f
}

// maxLoggedParts is the maximum number of parts in a log line.
const maxLoggedParts = 16

// joinParts returns parts as they are logged, separated by spaces.
func joinParts(parts []quarantine.Part) string {
	names := make([]string, min(len(parts), maxLoggedParts))
	for i := range names {
		names[i] = parts[i].String()
	}
	return strings.Join(names, " ")
}

func (q *request) logSent(u *fleet.Upstream, path *chainrouting.Path, lastEventID string) {
	q.relay.routineLog.Log(events.RequestSent, q.relay.Log, func() logrus.Fields {
		f := q.logFields()
		f["upstream"], f["calls"] = u.ID(), u.Calls()
		f["view"] = q.relay.Fleet.View().Version()
		addSendLimits(f, u, q.relay.Clock.Now())
		if path != nil {
			f["path"], f["prompt"], f["considered"] = path.String(), q.head.PromptTokens, path.DescribeCandidates()
		}
		if lastEventID != "" {
			f["behind_event"] = lastEventID
		}
		return f
	})
}

// addSendLimits adds the rest, avoidance and rate limit of the upstream that gets a request.
func addSendLimits(f logrus.Fields, u *fleet.Upstream, now spanrill.Millis) {
	if rest := u.RestRemaining(now); rest > 0 {
		f["rest_ms"] = rest
	}
	if u.Avoided(now) {
		f["avoided"] = true
	}
	if u.AnnouncedLeaving() {
		f["said_leaving"] = true
	}
	if l := u.Limit(); l.Set {
		f["limit_per_second"] = l.PerSecond
	}
}

// logNoOtherPath logs, once in each silence, that a request finds no second path and why each chain
// was rejected.
func (g *generation) logNoOtherPath(err error) {
	if g.noOtherPathLogged {
		return
	}
	g.noOtherPathLogged = true
	g.relay.routineLog.Log(events.NoOtherPath, g.relay.Log, func() logrus.Fields {
		f := g.logFields()
		f["why"], f["considered"], f["running"] = err, consideredChains(err), g.path != nil
		return f
	})
}

// consideredChains returns why each chain was rejected, or nil if the error is not about that.
func consideredChains(err error) []string {
	var noPath *chainrouting.NoPathError
	if !errors.As(err, &noPath) {
		return nil
	}
	return noPath.DescribeCandidates()
}

func (q *request) logEnded(status int, extra logrus.Fields) {
	q.relay.routineLog.Log(events.RequestEnded, q.relay.Log, func() logrus.Fields {
		f := q.logFields()
		f["status"] = status
		for name, value := range extra {
			f[name] = value
		}
		return f
	})
}

func (q *request) logRetry(u *fleet.Upstream, reason string, outcome spanrill.Outcome, err error) {
	q.relay.failureLog.Log(events.RequestRetried, q.relay.Log, func() logrus.Fields {
		f := q.logFields()
		f["upstream"], f["why"], f["outcome"], f["error"] = u.ID(), reason, outcome.String(), err
		f["risk"], f["budget_left"] = u.FailureRate(q.relay.Clock.Now()), q.relay.Budgets.Of(q.service.Name).Remaining()
		return f
	})
}

func (q *request) logCallerLeft(sent bool) {
	q.relay.routineLog.Log(events.CallerLeft, q.relay.Log, func() logrus.Fields {
		f := q.logFields()
		f["sent"] = sent
		return f
	})
}
