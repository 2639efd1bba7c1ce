package relay

import (
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/coordination/chainrouting"
	"spanrill/events"
	"spanrill/state/fleet"
)

// fields is what every line about a request says: its id, what decided it, and
// how old that knowledge was.
func (q *request) fields() logrus.Fields {
	r := q.relay
	f := logrus.Fields{"request": q.head.ID, "ms": r.Clock.Now() - q.start, "sends": q.sends}
	if q.table != nil {
		f["config"], f["config_revision"] = q.table.Version(), r.Config.Revision()
		f["proof_age_ms"] = r.Config.Age()
	}
	if q.route != nil {
		f["route"], f["repeat"] = q.route.Name, q.route.Repeat.String()
		f["target_ms"], f["pause_target_ms"] = q.route.Target, q.route.PauseTarget
	}
	if q.service != nil {
		f["service"] = q.service.Name
	}
	if q.until > 0 {
		f["content"] = q.content.String()
	}
	if q.account != nil {
		f["account"] = q.account.Name
	}
	if q.until > 0 {
		f["left_ms"] = q.left()
	}
	return f
}

func (q *request) logSent(u *fleet.Upstream, path *chainrouting.Path, lastEvent string) {
	q.relay.good.Log(events.RequestSent, q.relay.Log, func() logrus.Fields {
		f := q.fields()
		f["upstream"], f["calls"] = u.ID(), u.Calls()
		f["view"] = q.relay.Fleet.View().Version()
		keptAway(f, u, q.relay.Clock.Now())
		if path != nil {
			f["path"], f["prompt"], f["considered"] = path.String(), q.head.PromptTokens, path.Considered()
		}
		if lastEvent != "" {
			f["behind_event"] = lastEvent
		}
		return f
	})
}

// keptAway adds the reasons to avoid the upstream that gets a request, and the rate limit of
// the upstream.
func keptAway(f logrus.Fields, u *fleet.Upstream, now spanrill.Millis) {
	if rest := u.RestLeft(now); rest > 0 {
		f["rest_ms"] = rest
	}
	if u.Avoided(now) {
		f["avoided"] = true
	}
	if u.SaidLeaving() {
		f["said_leaving"] = true
	}
	if l := u.Limit(); l.Set {
		f["limit_per_second"] = l.PerSecond
	}
}

// logWaits says once for each silence that a request finds no second path, and what
// was wrong with each chain.
func (g *generation) logWaits(err error) {
	if g.waits {
		return
	}
	g.waits = true
	g.relay.good.Log(events.RequestWaits, g.relay.Log, func() logrus.Fields {
		f := g.fields()
		f["why"], f["considered"], f["running"] = err, consideredBy(err), g.path != nil
		return f
	})
}

// consideredBy returns what was wrong with each chain, if an error tells it.
func consideredBy(err error) []string {
	var none *chainrouting.NoPathError
	if !errors.As(err, &none) {
		return nil
	}
	return none.Considered()
}

func (q *request) logEnded(status int, extra logrus.Fields) {
	q.relay.good.Log(events.RequestEnded, q.relay.Log, func() logrus.Fields {
		f := q.fields()
		f["status"] = status
		for name, value := range extra {
			f[name] = value
		}
		return f
	})
}

func (q *request) logRetry(u *fleet.Upstream, why string, outcome spanrill.Outcome, err error) {
	q.relay.bad.Log(events.RequestRetried, q.relay.Log, func() logrus.Fields {
		f := q.fields()
		f["upstream"], f["why"], f["outcome"], f["error"] = u.ID(), why, outcome.String(), err
		f["risk"], f["budget_left"] = u.Risk(q.relay.Clock.Now()), q.relay.Budgets.Of(q.service.Name).Left()
		return f
	})
}

func (q *request) logGone(sent bool) {
	q.relay.good.Log(events.CallerGone, q.relay.Log, func() logrus.Fields {
		f := q.fields()
		f["sent"] = sent
		return f
	})
}
