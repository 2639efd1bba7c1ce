package reach

import (
	"context"
	"fmt"
	"net"
	"slices"

	"spanrill"
)

// DialForPeer connects to the upstream at an address for another daemon, over this daemon's own path
// only. The error wraps spanrill.ErrNoPath if that path does not work either. If the connection fails,
// other upstreams tell whether it does, and also if it is late and none was connected to lately.
func (d *Dialer) DialForPeer(ctx context.Context, addr string) (net.Conn, error) {
	service := d.directory.ServiceAt(addr)
	if d.paths.isCut(service) {
		return nil, fmt.Errorf("connect to %s: %w", addr, spanrill.ErrNoPath)
	}
	direct := d.startDirect(ctx, service, addr)
	select {
	case <-direct.done:
		if direct.err == nil || spanrill.IsLocalResourceError(direct.err) {
			return direct.conn, direct.err
		}
	case <-d.clock.After(d.directTime.bound(d.timeout)):
	case <-ctx.Done():
		d.discard(direct)
		return nil, fmt.Errorf("connect to %s: %w", addr, ctx.Err())
	}
	if (direct.isDone() || d.clock.Now()-d.paths.connectedAt(service) > checkInterval) && !d.reachesOtherSoon(ctx, service, addr, direct) {
		d.discard(direct)
		return nil, fmt.Errorf("connect to %s: %w: %v", addr, spanrill.ErrNoPath, direct.errNow())
	}
	return d.await(ctx, addr, direct)
}

// reachesOtherSoon reports whether this daemon reaches the upstream of an attempt, or another one, within
// the time that a connection usually takes.
func (d *Dialer) reachesOtherSoon(ctx context.Context, service, addr string, direct *attempt) bool {
	ctx, cancel := context.WithTimeout(ctx, d.directTime.bound(d.timeout).Duration())
	defer cancel()
	if d.reachesOther(ctx, service, addr) {
		return true
	}
	return direct.isDone() && direct.err == nil
}

// otherUpstreams is how many other upstreams of the service, and of all services, are tried to tell a
// lost path from a failed upstream. Several upstreams can fail together.
const otherUpstreams = 2

// reachesOther reports whether this daemon reaches another upstream, so that the failure of a
// connection to the one at addr tells of that upstream. It does if there is no other one.
func (d *Dialer) reachesOther(ctx context.Context, service, addr string) bool {
	others := append(d.pickOthers(service, addr, otherUpstreams), d.pickOthers("", addr, otherUpstreams)...)
	checks := make([]*attempt, len(others))
	for i, other := range others {
		checks[i] = d.startCheck(ctx, d.directory.ServiceAt(other), other)
	}
	return len(others) == 0 || d.anySucceeds(ctx, checks)
}

// reachesOtherServices reports whether this daemon reaches an upstream of another service than the given
// one.
func (d *Dialer) reachesOtherServices(ctx context.Context, service string) bool {
	others := slices.DeleteFunc(d.directory.Addrs(""), func(addr string) bool { return d.directory.ServiceAt(addr) == service })
	var checks []*attempt
	for _, other := range d.pick(others, otherUpstreams) {
		check := d.startDirect(ctx, d.directory.ServiceAt(other), other)
		d.discard(check)
		checks = append(checks, check)
	}
	return d.anySucceeds(ctx, checks)
}

// anySucceeds reports whether an attempt succeeds before the context ends.
func (d *Dialer) anySucceeds(ctx context.Context, attempts []*attempt) bool {
	results := make(chan bool, len(attempts))
	for _, a := range attempts {
		d.tasks.Start(context.WithoutCancel(ctx), "await check", func(context.Context) error {
			<-a.done
			results <- a.err == nil
			return nil
		})
	}
	for range attempts {
		select {
		case reached := <-results:
			if reached {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// pickOthers returns up to n random upstreams of a service, or of all services if it is "", without the
// one at addr.
func (d *Dialer) pickOthers(service, addr string, n int) []string {
	return d.pick(slices.DeleteFunc(d.directory.Addrs(service), func(other string) bool { return other == addr }), n)
}

// pick returns up to n random elements. It changes the order of the given ones.
func (d *Dialer) pick(others []string, n int) (picked []string) {
	for len(picked) < n && len(others) > 0 {
		i := d.random.IntN(len(others))
		picked = append(picked, others[i])
		others = slices.Delete(others, i, i+1)
	}
	return picked
}
