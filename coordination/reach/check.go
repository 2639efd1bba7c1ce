package reach

import (
	"context"
	"sync"

	"spanrill"
)

// checkInterval is the pause between two direct connections that check whether the path to the
// upstreams of a service is back. It is how long connections go through helpers needlessly, while
// each check is a connection to an upstream.
const checkInterval spanrill.Millis = 250

// Run checks lost paths, and learns of helpers meanwhile, until the context ends.
func (d *Dialer) Run(ctx context.Context) error {
	defer close(d.done)
	if d.tunnels != nil {
		d.tasks.Start(ctx, "learn helpers", d.learnHelpers)
	}
	for ctx.Err() == nil {
		for service, addr := range d.paths.toCheck(d.random.IntN) {
			d.discard(d.startDirect(ctx, service, addr))
		}
		select {
		case <-ctx.Done():
		case <-d.clock.After(checkInterval):
		}
	}
	_ = d.tasks.Wait()
	return ctx.Err()
}

// refreshConnected connects directly to an upstream of a service if that is some time ago, so that it is
// known whether this daemon reaches the service, and waits as long as that usually takes. At most one
// such connection is made at a time.
func (d *Dialer) refreshConnected(ctx context.Context, service string) {
	if d.clock.Now()-d.paths.connectedAt(service) <= knownFor/2 {
		return
	}
	addrs := d.directory.Addrs(service)
	if len(addrs) == 0 {
		return
	}
	check := d.checks.join(service, func() *attempt { return d.startCheck(ctx, service, addrs[d.random.IntN(len(addrs))]) })
	select {
	case <-check.done:
	case <-d.clock.After(d.directTime.bound(d.timeout)):
	case <-ctx.Done():
	}
}

// startCheck starts a direct connection that only tells whether the path works, and records a failure too.
func (d *Dialer) startCheck(ctx context.Context, service, addr string) *attempt {
	direct := d.startDirect(ctx, service, addr)
	d.discard(direct)
	d.tasks.Start(context.WithoutCancel(ctx), "check path", func(context.Context) error {
		<-direct.done
		isFailed := direct.err != nil && !spanrill.IsLocalResourceError(direct.err)
		if isFailed && d.paths.recordFailed(service, addr, false) == checkOtherServices {
			d.startCheckOfOthers(service, addr)
		}
		return nil
	})
	return direct
}

// checks holds the last check of the path to each service.
type checks struct {
	mu   sync.Mutex
	last map[string]*attempt // by service
}

// join returns the check of a service that is under way, or begins one.
func (c *checks) join(service string, begin func() *attempt) *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	if last := c.last[service]; last != nil && !last.isDone() {
		return last
	}
	check := begin()
	c.last[service] = check
	return check
}
