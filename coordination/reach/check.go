package reach

import (
	"context"

	"spanrill"
)

// checkInterval is the pause between two direct connections that check whether the path to the
// upstreams of a service is back. It is how long connections go through helpers needlessly, while
// each check is a connection to an upstream.
const checkInterval spanrill.Millis = 250

// Run checks lost paths until the context ends.
func (d *Dialer) Run(ctx context.Context) error {
	defer close(d.done)
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
