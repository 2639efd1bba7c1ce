package reach

import (
	"context"
	"fmt"
	"net"

	"spanrill"
)

// awaitComparison returns the result of a direct attempt. If it fails, it waits for the comparisons that
// are running for the service, and connects through a helper if they have found the path lost. If they have
// not ended in time, or others failed since the last connection to the service, the error says nothing about
// the upstream.
func (d *Dialer) awaitComparison(ctx context.Context, service, addr string, direct *attempt) (net.Conn, error) {
	conn, err := d.await(ctx, addr, direct)
	if err == nil || ctx.Err() != nil || spanrill.IsLocalResourceError(err) {
		return conn, err
	}
	d.comparisons.await(ctx, service)
	if _, lost := d.paths.lostSince(service, addr); lost {
		return d.dialThroughHelper(ctx, service, addr)
	}
	if ctx.Err() != nil {
		return nil, fmt.Errorf("compare paths to %s: %w: %v", addr, ctx.Err(), err)
	}
	if d.paths.othersFailed(service, addr) {
		return nil, fmt.Errorf("connect to %s, others failed too: %v", addr, err) // not %w: it is no refusal by the upstream
	}
	return nil, err
}

// first returns the first connection of two attempts, or an error if both fail.
func (d *Dialer) first(ctx context.Context, addr string, direct, help *attempt) (net.Conn, error) {
	directDone, helpDone := direct.done, help.done
	for directDone != nil || helpDone != nil {
		select {
		case <-directDone:
			if direct.err == nil {
				d.discard(help)
				return direct.conn, nil
			}
			directDone = nil
		case <-helpDone:
			if help.err == nil {
				d.discard(direct)
				return help.conn, nil
			}
			helpDone = nil
		case <-ctx.Done():
			d.discard(direct)
			d.discard(help)
			return nil, fmt.Errorf("connect to %s: %w", addr, ctx.Err())
		}
	}
	return nil, fmt.Errorf("%w, and through other daemons: %v", direct.err, help.err)
}

// compare records what the results of two attempts say about this daemon's path. A direct attempt
// that is still under way when the helper has connected counts as failed, unless this process has stalled
// meanwhile; should it succeed later, startDirect records that.
func (d *Dialer) compare(service, addr string, direct, help *attempt) {
	<-help.done
	if help.err == nil {
		if d.hasStalledSince(direct.begunAt) {
			<-direct.done
		}
		select {
		case <-direct.done:
			if direct.err == nil || spanrill.IsLocalResourceError(direct.err) {
				return
			}
		default:
		}
		if d.paths.recordLost(service, addr, direct.begunAt) {
			d.confirmLost(service, addr)
		}
		return
	}
	<-direct.done
	if direct.err != nil && !spanrill.IsLocalResourceError(direct.err) {
		d.recordFailed(service, addr, !isNoHelp(help.err))
	}
}

// hasStalledSince reports whether this process has stalled since a time.
func (d *Dialer) hasStalledSince(at spanrill.Millis) bool {
	now := d.clock.Now()
	return d.running.Since(at) < now-at
}

// confirmLost compares the paths to other upstreams of a service after one was lost, so that the loss
// of all is noticed before requests need them.
func (d *Dialer) confirmLost(service, addr string) {
	for _, other := range d.pickOthers(service, addr, otherUpstreams) {
		d.tasks.Start(context.Background(), "confirm lost path", func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, d.timeout.Duration())
			defer cancel()
			if conn, err := d.race(ctx, service, other); err == nil {
				_ = conn.Close()
			}
			return nil // only what the attempts record matters
		})
	}
}

// recordFailed records that nobody reached an upstream, and tries others if that may be because of
// this daemon's path.
func (d *Dialer) recordFailed(service, addr string, told bool) {
	switch d.paths.recordFailed(service, addr, told) {
	case checkOthers:
		for _, other := range d.pickOthers(service, addr, minFailedInRow) {
			d.startCheck(context.Background(), service, other)
		}
	case checkOtherServices:
		d.startCheckOfOthers(service, addr)
	}
}

// startCheckOfOthers starts to find out whether this daemon reaches upstreams of other services than one
// of which many have failed.
func (d *Dialer) startCheckOfOthers(service, addr string) {
	d.tasks.Start(context.Background(), "check other services", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, d.directTime.bound(d.timeout).Duration())
		defer cancel()
		d.paths.recordUnreached(service, addr, d.reachesOtherServices(ctx, service))
		return nil
	})
}
