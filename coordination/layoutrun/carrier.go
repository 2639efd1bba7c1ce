package layoutrun

import (
	"context"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
	"spanrill/state/fleet"
)

const (
	// callWait bounds one question or order: many times a round trip.
	callWait spanrill.Millis = 300
	// tellMargin is how much longer than news takes to all daemons they are told
	// of an order before it takes layers away, so that they send nothing there
	// for these layers: a question and its answer.
	tellMargin spanrill.Millis = 150
	// usualSpread is how long news takes where nothing else is known: one round.
	usualSpread spanrill.Millis = 250
	// askGap is the pause between two questions to an engine that loads. Each
	// question is paid for.
	askGap spanrill.Millis = 300
	// lagTime is how much later than it is true an engine reports what it
	// holds.
	lagTime spanrill.Millis = 250
	// maxOrders bounds the orders given for one change.
	maxOrders = 4
	// slowLoad bounds the time to load, in times of a load that is alone.
	slowLoad = 6.0
)

// carrier brings one engine to a range.
type carrier struct {
	placer   *Placer
	service  spanrill.ServiceInfo
	upstream *fleet.Upstream
	order    *order
	given    int
	sequence uint64 // after the last order that was answered
}

// run announces the change, gives the order and waits until the engine holds
// the range. An order without an answer is followed by a question: only if the
// engine has not taken it is it given again, for the same count of orders, so
// that one of the two is void.
func (c *carrier) run(ctx context.Context) {
	tell := takesAway(c.upstream.Entry().Layers, c.order.move.Layers) && !c.order.move.Cut
	if tell && !c.pause(ctx, c.placer.spread()+tellMargin) {
		c.placer.end(c.order, false)
		return
	}
	c.placer.end(c.order, c.bring(ctx))
}

func (c *carrier) bring(ctx context.Context) bool {
	limit := c.placer.clock.Now() + c.loadTime(slowLoad) + maxOrders*callWait*2
	for ctx.Err() == nil && c.placer.clock.Now() < limit && c.upstream.Takes() {
		report, err := c.report(ctx)
		if err != nil {
			if ctx.Err() == nil && !spanrill.OwnLack(err) {
				c.upstream.SetDead(true) // it is asked again by the upkeep, which notes its return
			}
			c.log(events.OrderFailed, logrus.Fields{"error": err, "asked": "report"})
			return false
		}
		if report.Layers == c.order.move.Layers && !report.Busy {
			return true
		}
		if report.Busy {
			c.pause(ctx, askGap)
			continue
		}
		if c.given > 0 && report.Sequence < c.sequence {
			c.pause(ctx, askGap) // the report is older than the order
			continue
		}
		if !c.give(ctx, report) {
			return false
		}
	}
	return false
}

// takesAway reports whether a move takes layers from an engine.
func takesAway(held, next spanrill.LayerRange) bool {
	return held.Len() > 0 && (held.From < next.From || held.To > next.To)
}

func (c *carrier) pause(ctx context.Context, d spanrill.Millis) bool {
	select {
	case <-ctx.Done():
		return false
	case <-c.placer.clock.After(d):
		return true
	}
}

func (c *carrier) report(ctx context.Context) (spanrill.EngineReport, error) {
	if err := c.placer.calls.enter(ctx); err != nil {
		return spanrill.EngineReport{}, err
	}
	defer c.placer.calls.leave()
	ctx, cancel := context.WithTimeout(ctx, callWait.Duration())
	defer cancel()
	return c.placer.engines.Report(ctx, c.upstream.Addr())
}

// give gives the order for exactly the state that the engine has reported. It
// returns false if the order is not to be given again.
func (c *carrier) give(ctx context.Context, report spanrill.EngineReport) bool {
	if c.given >= maxOrders {
		return false
	}
	term, state, err := c.place(ctx, report)
	if errors.Is(err, errLeaseLost) {
		c.log(events.OrderWaits, logrus.Fields{"why": "lease lost"})
		return false
	}
	c.given++
	fields := logrus.Fields{"sequence": report.Sequence, "held": report.Layers, "term": term, "given": c.given}
	if err != nil {
		fields["error"] = err
		c.log(events.OrderFailed, fields)
		c.pause(ctx, lagTime)
		return true
	}
	fields["state"] = state.String()
	switch state {
	case spanrill.OrderBegun:
		c.sequence = report.Sequence + 1
		c.log(events.OrderGiven, fields)
		c.pause(ctx, max(lagTime, c.loadTime(1)))
		return true
	case spanrill.OrderDone:
		c.sequence = report.Sequence
		c.log(events.OrderGiven, fields)
		return true
	case spanrill.OrderFenced:
		c.log(events.OrderRefused, fields)
		return false
	}
	c.log(events.OrderRefused, fields)
	c.pause(ctx, lagTime)
	return true
}

// errLeaseLost means that this daemon may give no orders any more.
var errLeaseLost = errors.New("the lease is lost")

// place gives the order under the term that holds once it may be sent: it waits for others.
func (c *carrier) place(ctx context.Context, report spanrill.EngineReport) (term uint64, state spanrill.OrderState, err error) {
	if err := c.placer.calls.enter(ctx); err != nil {
		return 0, 0, err
	}
	defer c.placer.calls.leave()
	term, ok := c.placer.mayAct()
	if !ok {
		return 0, 0, errLeaseLost
	}
	ctx, cancel := context.WithTimeout(ctx, callWait.Duration())
	defer cancel()
	order := spanrill.PlaceOrder{Layers: c.order.move.Layers, Term: term, Sequence: report.Sequence, Cut: c.order.move.Cut}
	state, err = c.placer.engines.Place(ctx, c.upstream.Addr(), c.upstream.Name(), order)
	return term, state, err
}

// loadTime is how long the new layers take to load, times a factor.
func (c *carrier) loadTime(factor float64) spanrill.Millis {
	held, next := c.upstream.Entry().Layers, c.order.move.Layers
	kept := max(0, min(held.To, next.To)-max(held.From, next.From))
	share := float64(next.Len()-kept) / float64(max(1, c.service.Model.Layers))
	return spanrill.Millis(c.service.Model.LoadSeconds * share * factor * float64(spanrill.Second))
}

func (c *carrier) log(e events.Event, fields logrus.Fields) {
	fields["upstream"], fields["layers"], fields["why"] = c.upstream.ID(), c.order.move.Layers, c.order.move.Reason
	fields["service"], fields["cut"] = c.service.Name, c.order.move.Cut
	e.Log(c.placer.log, fields)
}
