package reach

import (
	"context"
	"fmt"
	"net"
	"slices"

	"spanrill"
)

// DialForPeer connects to the upstream at an address for another daemon, over this daemon's own path
// only. The error wraps spanrill.ErrNoPath if that path does not work either.
func (d *Dialer) DialForPeer(ctx context.Context, addr string) (net.Conn, error) {
	service := d.directory.ServiceAt(addr)
	if d.paths.isCut(service) {
		return nil, fmt.Errorf("connect to %s: %w", addr, spanrill.ErrNoPath)
	}
	conn, err := d.await(ctx, addr, d.startDirect(ctx, service, addr))
	if err != nil && ctx.Err() == nil && !d.reachesOther(ctx, service, addr) {
		return nil, fmt.Errorf("connect to %s: %w: %v", addr, spanrill.ErrNoPath, err)
	}
	return conn, err
}

// otherUpstreams is how many other upstreams of the service, and of all services, are tried to tell a
// lost path from a failed upstream. Several upstreams can fail together.
const otherUpstreams = 2

// reachesOther reports whether this daemon reaches another upstream, so that the failure of a
// connection to the one at addr tells of that upstream. It does if there is no other one.
func (d *Dialer) reachesOther(ctx context.Context, service, addr string) bool {
	others := append(d.pickOthers(service, addr, otherUpstreams), d.pickOthers("", addr, otherUpstreams)...)
	results := make(chan bool, len(others))
	for _, other := range others {
		service := d.directory.ServiceAt(other)
		direct := d.startDirect(ctx, service, other)
		d.discard(direct)
		d.tasks.Start(context.WithoutCancel(ctx), "check path", func(context.Context) error {
			<-direct.done
			if direct.err != nil && !spanrill.IsLocalResourceError(direct.err) {
				d.paths.recordFailed(service, other, false)
			}
			results <- direct.err == nil
			return nil
		})
	}
	for range others {
		select {
		case reached := <-results:
			if reached {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return len(others) == 0
}

// pickOthers returns up to n random upstreams of a service, or of all services if it is "", without the
// one at addr.
func (d *Dialer) pickOthers(service, addr string, n int) (picked []string) {
	others := slices.DeleteFunc(d.directory.Addrs(service), func(other string) bool { return other == addr })
	for len(picked) < n && len(others) > 0 {
		i := d.random.IntN(len(others))
		picked = append(picked, others[i])
		others = slices.Delete(others, i, i+1)
	}
	return picked
}
