package layoutrun

import (
	"context"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
	"spanrill/state/fleet"
)

// verification records what the placer has found out about an engine that requests
// reported as silent or refusing. A repair cuts requests and moves engines, so it must
// not rely on requests alone: they consider an engine dead after some ten milliseconds
// of silence, and an engine whose memory is full refuses just as a leaving one does.
type verification struct {
	queriedAt       spanrill.Millis
	querying        bool
	hasFreeMemory   bool            // not full in its last report
	freeMemorySince spanrill.Millis // time of the first of its latest reports that all show it not full
	crashed         bool            // did not answer the placer either
	leaving         bool            // refuses although it has had free memory for a while
}

const (
	// verifyTimeout bounds the report request: a hundred round trips, and half the time
	// that loading the smallest part takes.
	verifyTimeout spanrill.Millis = 150
	// verifyWindow is how long after its last refusal an engine is still verified: a first
	// refusal keeps requests away for 1.2 s, and only a second one can show that it leaves.
	verifyWindow = 3 * spanrill.Second
	// verifyInterval is the pause between two report requests to one engine.
	verifyInterval spanrill.Millis = 400
	// minFreeMemoryTime is how long an engine must have had free memory before a refusal means
	// that it is leaving: reports lag, so memory that was full at the refusal may be free
	// in the report.
	minFreeMemoryTime spanrill.Millis = 2 * reportLag
	// fullThreshold is the share of its memory from which an engine counts as full.
	fullThreshold = 0.8
)

// verify returns whether the placer has found that an engine has crashed, or is leaving
// without notice. If requests reported the engine as failing and mayQuery is set, it also
// starts a report request, whose result later calls return. The caller holds the lock.
func (p *Placer) verify(ctx context.Context, u *fleet.Upstream, now spanrill.Millis, mayQuery bool) (crashed, leaving bool) {
	id := u.ID()
	v := p.verifications[id]
	if !u.Removed() && !u.Dead() && !u.RefusesPersistently(now) && (v == nil || now-u.LastRefusalAt() > verifyWindow) {
		delete(p.verifications, id)
		return false, false
	}
	if v == nil {
		v = &verification{queriedAt: now - verifyInterval}
		p.verifications[id] = v
	}
	if mayQuery && !v.querying && now-v.queriedAt >= verifyInterval {
		v.querying, v.queriedAt = true, now
		p.tasks.Start(ctx, "verify upstream", func(ctx context.Context) error { return p.queryUpstream(ctx, u, v) })
	}
	return v.crashed && (u.Dead() || u.Removed()), v.leaving
}

// queryUpstream requests a report from an engine and records the result.
func (p *Placer) queryUpstream(ctx context.Context, u *fleet.Upstream, v *verification) error {
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout.Duration())
	defer cancel()
	report, err := p.engines.Report(ctx, u.Addr())
	p.mu.Lock()
	defer p.mu.Unlock()
	v.querying = false
	if spanrill.IsLocalResourceError(err) {
		return err // this daemon lacks resources, which says nothing about the engine
	}
	crashed := err != nil
	v.recordFreeMemory(!crashed && report.Waiting == 0 && report.KVUsed < fullThreshold*report.KVTotal, p.clock.Now())
	leaving := v.hasFreeMemory && u.LastRefusalAt() > v.freeMemorySince+minFreeMemoryTime
	if crashed == v.crashed && leaving == v.leaving {
		return nil
	}
	v.crashed, v.leaving = crashed, leaving
	events.UpstreamVerified.Log(p.log, logrus.Fields{
		"upstream": u.ID(), "lost": crashed, "leaves": leaving, "error": err,
		"waiting": report.Waiting, "kv_used": report.KVUsed, "kv_total": report.KVTotal,
	})
	return nil
}

// recordFreeMemory records whether a report shows an engine that is not full.
func (v *verification) recordFreeMemory(hasFreeMemory bool, now spanrill.Millis) {
	if hasFreeMemory && !v.hasFreeMemory {
		v.freeMemorySince = now
	}
	v.hasFreeMemory = hasFreeMemory
}
