package layoutrun

import (
	"context"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
	"spanrill/state/fleet"
)

// doubt is what the placer has found out itself about an engine that requests
// found silent, or that refuses them. A repair cuts requests and moves engines,
// so that the requests' word is not enough: they take an engine for dead after
// some ten milliseconds of silence, and an engine that is full refuses as one
// that leaves does.
type doubt struct {
	askedAt spanrill.Millis
	asking  bool
	room    bool            // said in its last report that it is not full
	roomAt  spanrill.Millis // since when all reports have said so
	lost    bool            // did not answer the placer either
	leaves  bool            // has had room for a while, and refuses nevertheless
}

const (
	// doubtWait bounds the question: a hundred round trips, and half the time
	// that loading the smallest part takes.
	doubtWait spanrill.Millis = 150
	// doubtTime is how long after a refusal an engine is doubted: requests are
	// kept away for 1.2 s, and only a second refusal tells more.
	doubtTime = 3 * spanrill.Second
	// doubtGap is the pause between two questions about one engine.
	doubtGap spanrill.Millis = 400
	// roomTime is how long an engine must have had room before a refusal means
	// that it leaves: reports lag, and memory that was full when it refused may be
	// free when it reports.
	roomTime spanrill.Millis = 2 * lagTime
	// emptyEnough is the part of its memory up to which an engine is not full.
	emptyEnough = 0.8
)

// judge returns whether an engine is lost, or leaves without a word, as far as
// was found out, and asks it if there is a doubt and this daemon may give
// orders. The caller holds the lock.
func (p *Placer) judge(ctx context.Context, u *fleet.Upstream, now spanrill.Millis, may bool) (lost, leaves bool) {
	id := u.ID()
	d := p.doubts[id]
	if !u.Removed() && !u.Dead() && !u.Refusing(now) && (d == nil || now-u.RefusedAt() > doubtTime) {
		delete(p.doubts, id)
		return false, false
	}
	if d == nil {
		d = &doubt{askedAt: now - doubtGap}
		p.doubts[id] = d
	}
	if may && !d.asking && now-d.askedAt >= doubtGap {
		d.asking, d.askedAt = true, now
		p.orders.Start(ctx, "ask about a doubt", func(ctx context.Context) error { return p.settle(ctx, u, d) })
	}
	return d.lost && (u.Dead() || u.Removed()), d.leaves
}

// settle asks an engine for its report and notes what that says.
func (p *Placer) settle(ctx context.Context, u *fleet.Upstream, d *doubt) error {
	ctx, cancel := context.WithTimeout(ctx, doubtWait.Duration())
	defer cancel()
	report, err := p.engines.Report(ctx, u.Addr())
	p.mu.Lock()
	defer p.mu.Unlock()
	d.asking = false
	if spanrill.OwnLack(err) {
		return err // it says nothing of the engine
	}
	lost := err != nil
	d.note(!lost && report.Waiting == 0 && report.KVUsed < emptyEnough*report.KVTotal, p.clock.Now())
	leaves := d.room && u.RefusedAt() > d.roomAt+roomTime
	if lost == d.lost && leaves == d.leaves {
		return nil
	}
	d.lost, d.leaves = lost, leaves
	events.UpstreamDoubted.Log(p.log, logrus.Fields{
		"upstream": u.ID(), "lost": lost, "leaves": leaves, "error": err,
		"waiting": report.Waiting, "kv_used": report.KVUsed, "kv_total": report.KVTotal,
	})
	return nil
}

// note takes whether a report said that the engine is not full.
func (d *doubt) note(room bool, now spanrill.Millis) {
	if room && !d.room {
		d.roomAt = now
	}
	d.room = room
}
