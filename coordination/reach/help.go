package reach

import (
	"context"
	"net"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
	"spanrill/transport/tunnel"
)

// Tunnels opens connections through other daemons and asks them for helpers.
type Tunnels interface {
	// Open connects to an upstream through a helper, and returns what the helper answered. The error is
	// a *tunnel.OpenError if the helper answered that it does not connect.
	Open(ctx context.Context, helper spanrill.Helper, target tunnel.Target) (net.Conn, tunnel.Answer, error)
	// Ask asks a helper what it knows about helpers for a service.
	Ask(ctx context.Context, helper spanrill.Helper, question tunnel.Question) (tunnel.Told, error)
}

type requestKey struct{}

// WithRequest returns a context whose connections are for the request with that id. A helper does not
// connect requests to upstreams that want none from it.
func WithRequest(ctx context.Context, id string) context.Context {
	return context.WithValue(ctx, requestKey{}, id)
}

func requestOf(ctx context.Context) string {
	id, _ := ctx.Value(requestKey{}).(string)
	return id
}

// startTunnel starts to connect through a helper.
func (d *Dialer) startTunnel(ctx context.Context, service string, h spanrill.Helper, addr string) *attempt {
	request, startedAt := requestOf(ctx), d.clock.Now()
	d.known.addOpening(h.Name, 1)
	return d.start(ctx, "tunnel", func(ctx context.Context) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, d.timeout.Duration())
		defer cancel()
		defer d.known.addOpening(h.Name, -1)
		target := tunnel.Target{Addr: addr, Request: request, Zone: d.zone, Lost: d.paths.isCut(service), Helpers: d.known.tell(service, h.Name, h.Zone)}
		conn, answer, err := d.tunnels.Open(ctx, h, target)
		if err != nil {
			d.recordNotHelped(service, h, target, startedAt, err)
			return nil, err
		}
		d.helpTime.record(d.clock.Now() - startedAt)
		d.recordHelped(service, h, target, startedAt, answer)
		return conn, nil
	})
}

// recordHelped records that a helper that was asked at a time has connected.
func (d *Dialer) recordHelped(service string, h spanrill.Helper, target tunnel.Target, askedAt spanrill.Millis, answer tunnel.Answer) {
	d.meters.HelpedConnections.Inc()
	d.paths.recordHelped(service, h.Name, target.Addr)
	d.known.recordReached(service, h, d.clock.Now(), answer.Open, answer.Room)
	d.known.merge(service, answer.Helpers, askedAt)
	d.helpLog.Log(events.TunnelUsed, d.log, func() logrus.Fields {
		f := logrus.Fields{"helper": h.Name, "addr": target.Addr, "service": service, "request": target.Request, "open": answer.Open, "room": answer.Room}
		if since, lost := d.paths.lostSince(service, target.Addr); lost {
			f["lost_ms"] = d.clock.Now() - since
		}
		return f
	})
}

// recordNotHelped records that a helper that was asked at a time did not connect, and what it has told
// of others.
func (d *Dialer) recordNotHelped(service string, h spanrill.Helper, target tunnel.Target, askedAt spanrill.Millis, err error) {
	d.helpLog.Log(events.TunnelDenied, d.log, func() logrus.Fields {
		return logrus.Fields{"helper": h.Name, "addr": target.Addr, "request": target.Request, "error": err}
	})
	var failure *tunnel.OpenError
	if !errors.As(err, &failure) {
		d.meters.HelpFailed.Inc()
		d.known.recordLate(h.Name)
		return
	}
	d.meters.CountHelpDenied(failure.Reason.String())
	d.paths.recordDenied(service)
	d.known.merge(service, failure.Helpers, askedAt)
	switch failure.Reason {
	case tunnel.ReasonNoPath:
		d.known.recordDenied(service, h, d.clock.Now())
	case tunnel.ReasonFull:
		d.known.recordFull(h.Name)
	case tunnel.ReasonLeaving:
		d.known.recordLeaving(h.Name)
	}
}

// reasonOf returns the reason that a helper gave, or 0.
func reasonOf(err error) tunnel.Reason {
	var failure *tunnel.OpenError
	if errors.As(err, &failure) {
		return failure.Reason
	}
	return 0
}

// isUpstreamFault reports whether a helper has tried to connect to the upstream and failed.
func isUpstreamFault(err error) bool {
	reason := reasonOf(err)
	return reason == tunnel.ReasonRefused || reason == tunnel.ReasonUnreachable
}
