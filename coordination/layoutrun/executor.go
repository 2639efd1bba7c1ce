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
	// callTimeout bounds one report request or order: many times a round trip.
	callTimeout spanrill.Millis = 300
	// announceMargin is how long a daemon may still send requests for layers after it has
	// learned that an order removes them: the time of one request and its answer. It is
	// added to the propagation time.
	announceMargin spanrill.Millis = 150
	// defaultPropagation is the propagation time without WithPropagationTime: one round with
	// the peers.
	defaultPropagation spanrill.Millis = 250
	// pollInterval is the pause between two report requests to an engine that loads
	// layers: each request has a cost.
	pollInterval spanrill.Millis = 300
	// reportLag is how far an engine's report of its layers lags behind their actual state.
	reportLag spanrill.Millis = 250
	// maxOrdersPerMove bounds the orders sent for one move.
	maxOrdersPerMove = 4
	// maxLoadFactor bounds the time to wait for a load, as a multiple of the time of a single
	// undisturbed load.
	maxLoadFactor = 6.0
)

// orderExecutor carries out one move: it orders an engine to hold a range.
type orderExecutor struct {
	placer   *Placer
	service  spanrill.ServiceInfo
	upstream *fleet.Upstream
	order    *order
	sent     int    // orders sent so far
	sequence uint64 // the engine's sequence after the last answered order
}

// run sends the order and waits until the engine holds the range. If the order removes
// layers, it first waits until the other daemons have learned of it. After an order
// without an answer it asks for a report. It sends the order again only if the engine has
// not applied it, and with the same sequence, so that the engine rejects one of the two.
func (x *orderExecutor) run(ctx context.Context) {
	announce := removesLayers(x.upstream.Entry().Layers, x.order.move.Layers) && !x.order.move.Cut
	if announce && !x.sleep(ctx, x.placer.propagation()+announceMargin) {
		x.placer.finishOrder(x.order, false)
		return
	}
	x.placer.finishOrder(x.order, x.reachTarget(ctx))
}

// reachTarget polls the engine and sends it orders until it reports the range of the move.
// It returns false if the move has failed.
func (x *orderExecutor) reachTarget(ctx context.Context) bool {
	deadline := x.placer.clock.Now() + x.loadTime(maxLoadFactor) + maxOrdersPerMove*callTimeout*2
	for ctx.Err() == nil && x.placer.clock.Now() < deadline && x.upstream.AcceptsRequests() {
		report, err := x.report(ctx)
		if err != nil {
			if ctx.Err() == nil && !spanrill.IsLocalResourceError(err) {
				x.upstream.SetDead(true) // the prober rechecks dead upstreams and detects its return
			}
			x.log(events.OrderFailed, logrus.Fields{"error": err, "asked": "report"})
			return false
		}
		if report.Layers == x.order.move.Layers && !report.Busy {
			return true
		}
		if report.Busy {
			x.sleep(ctx, pollInterval)
			continue
		}
		if x.sent > 0 && report.Sequence < x.sequence {
			x.sleep(ctx, pollInterval) // the engine made the report before it got the order
			continue
		}
		if !x.sendOrder(ctx, report) {
			return false
		}
	}
	return false
}

// removesLayers reports whether an engine that changes its range from held to next drops layers.
func removesLayers(held, next spanrill.LayerRange) bool {
	return held.Len() > 0 && (held.From < next.From || held.To > next.To)
}

// sleep waits for d, and returns false if the context ends first.
func (x *orderExecutor) sleep(ctx context.Context, d spanrill.Millis) bool {
	select {
	case <-ctx.Done():
		return false
	case <-x.placer.clock.After(d):
		return true
	}
}

func (x *orderExecutor) report(ctx context.Context) (spanrill.EngineReport, error) {
	if err := x.placer.calls.acquire(ctx); err != nil {
		return spanrill.EngineReport{}, err
	}
	defer x.placer.calls.release()
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	return x.placer.engines.Report(ctx, x.upstream.Addr())
}

// sendOrder sends the order with the sequence that the engine has reported, so that it
// applies only to that state. It returns false if no further order may be sent.
func (x *orderExecutor) sendOrder(ctx context.Context, report spanrill.EngineReport) bool {
	if x.sent >= maxOrdersPerMove {
		return false
	}
	term, state, err := x.callPlace(ctx, report)
	if errors.Is(err, errLeaseLost) {
		x.log(events.OrderDelayed, logrus.Fields{"why": "lease lost"})
		return false
	}
	x.sent++
	fields := logrus.Fields{"sequence": report.Sequence, "held": report.Layers, "term": term, "given": x.sent}
	if err != nil {
		fields["error"] = err
		x.log(events.OrderFailed, fields)
		x.sleep(ctx, reportLag)
		return true
	}
	fields["state"] = state.String()
	switch state {
	case spanrill.OrderBegun:
		x.sequence = report.Sequence + 1
		x.log(events.OrderGiven, fields)
		x.sleep(ctx, max(reportLag, x.loadTime(1)))
		return true
	case spanrill.OrderDone:
		x.sequence = report.Sequence
		x.log(events.OrderGiven, fields)
		return true
	case spanrill.OrderFenced:
		x.log(events.OrderRefused, fields)
		return false
	}
	x.log(events.OrderRefused, fields)
	x.sleep(ctx, reportLag)
	return true
}

// errLeaseLost means that this daemon may no longer send orders.
var errLeaseLost = errors.New("lease lost")

// callPlace sends the order once the call has a slot, under the term that is valid then.
func (x *orderExecutor) callPlace(ctx context.Context, report spanrill.EngineReport) (term uint64, state spanrill.OrderState, err error) {
	if err := x.placer.calls.acquire(ctx); err != nil {
		return 0, 0, err
	}
	defer x.placer.calls.release()
	term, ok := x.placer.mayPlace()
	if !ok {
		return 0, 0, errLeaseLost
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	order := spanrill.PlacementOrder{Layers: x.order.move.Layers, Term: term, Sequence: report.Sequence, CancelRunning: x.order.move.Cut}
	state, err = x.placer.engines.Place(ctx, x.upstream.Addr(), x.upstream.Name(), order)
	return term, state, err
}

// loadTime returns how long the layers that the engine does not hold yet take to load,
// times a factor.
func (x *orderExecutor) loadTime(factor float64) spanrill.Millis {
	held, next := x.upstream.Entry().Layers, x.order.move.Layers
	kept := max(0, min(held.To, next.To)-max(held.From, next.From))
	share := float64(next.Len()-kept) / float64(max(1, x.service.Model.Layers))
	return spanrill.Millis(x.service.Model.LoadSeconds * share * factor * float64(spanrill.Second))
}

func (x *orderExecutor) log(e events.Event, fields logrus.Fields) {
	fields["upstream"], fields["layers"], fields["why"] = x.upstream.ID(), x.order.move.Layers, x.order.move.Reason
	fields["service"], fields["cut"] = x.service.Name, x.order.move.Cut
	e.Log(x.placer.log, fields)
}
