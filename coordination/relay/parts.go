package relay

import (
	"fmt"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/coordination/quarantine"
	"spanrill/events"
)

// errPartWithheld is the cancellation cause of a request whose answer has not begun when a part of its
// prompt is withheld.
var errPartWithheld = errors.New("a part of the prompt is withheld")

// beginParts starts to track the parts of the request's prompt.
func (q *request) beginParts() {
	q.partGuard = q.relay.Parts.Begin(quarantine.PartsOf(q.service.Name, q.head.Parts), quarantine.AccountOf(q.accountName()))
}

// accountName returns the name of the client account, or "".
func (q *request) accountName() string {
	if q.account == nil {
		return ""
	}
	return q.account.Name
}

// checkParts returns a refusal if the request must not be sent because engines have crashed under
// requests with a part of its prompt, or nil.
func (q *request) checkParts() *spanrill.Refusal {
	verdict := q.partGuard.Check()
	if !verdict.Refused() {
		return nil
	}
	reason, why := spanrill.ReasonPartSuspected, "one request with it is being tried"
	if verdict.Withheld() {
		reason, why = spanrill.ReasonPartWithheld, fmt.Sprintf("the next one is tried in %.1f s", float64(verdict.NextTrialIn())/float64(spanrill.Second))
	}
	return spanrill.NewRefusal(reason, "%d engines have crashed under requests with part %s of the prompt; %s", verdict.Crashes(), verdict.Part(), why).
		WithRetryAfter(verdict.RetryAfter())
}

// recordPartsSent announces the trials that begin when the request is sent.
func (q *request) recordPartsSent() {
	trials := q.partGuard.RecordSent()
	if len(trials) == 0 {
		return
	}
	q.relay.Meters.PartTrials.Inc()
	q.relay.OnParts(trials)
	events.PartTrialSent.Log(q.relay.Log, logrus.Fields{"part": joinParts(trials), "request": q.head.ID, "account": q.partGuard.Account().String()})
}

// recordPartsWorking records that an answer that began at a time has gone on or has ended well.
func (q *request) recordPartsWorking(begunAt spanrill.Millis) {
	if cleared := q.relay.Parts.RecordWorking(q.partGuard.Parts(), begunAt); len(cleared) > 0 {
		q.relay.OnParts(cleared)
	}
}

// recordGoesOn records once that the answer has gone on for so long that the parts of the prompt do not
// crash engines.
func (g *generation) recordGoesOn(now spanrill.Millis) {
	if g.goesOn.Load() || now-g.firstEventAt < quarantine.BeginTime {
		return
	}
	g.goesOn.Store(true)
	g.recordPartsWorking(g.firstEventAt)
}

// recordPartCrashes records the crashes of engines under requests that had just begun there, and tells
// the other daemons.
func (r *Relay) recordPartCrashes(attempts []brokenAttempt, unconfirmed bool) {
	var news []quarantine.Part
	for _, attempt := range attempts {
		if len(attempt.parts) == 0 || attempt.streamedFor > quarantine.BeginTime || attempt.leaving {
			continue
		}
		news = append(news, r.Parts.RecordCrash(quarantine.Crash{
			Upstream: nameHash(attempt.upstream), At: attempt.brokeAt, Account: attempt.account, Content: uint64(attempt.content), Unconfirmed: unconfirmed,
		}, attempt.parts, attempt.trials)...)
	}
	if news = r.Parts.News(news); len(news) > 0 {
		r.OnParts(news)
	}
}

// CancelBeginning cancels the requests with a withheld part whose answer has not gone on yet.
func (r *Relay) CancelBeginning(part quarantine.Part) {
	r.generations.mu.Lock()
	defer r.generations.mu.Unlock()
	for _, g := range r.generations.all {
		if !g.goesOn.Load() && g.partGuard.Has(part) {
			g.cancel(errPartWithheld)
		}
	}
}

// partWithheldRefusal returns the refusal of a request that CancelBeginning has cancelled.
func (q *request) partWithheldRefusal(sent bool) *spanrill.Refusal {
	refusal := spanrill.NewRefusal(spanrill.ReasonPartWithheld, "%v", errPartWithheld).WithRetryAfter(quarantine.MaxRetryAfter)
	if sent {
		return refusal.WithOutcome(spanrill.OutcomeUnknown)
	}
	return refusal
}
