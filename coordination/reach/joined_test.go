package reach

import (
	"context"
	"testing"

	"spanrill"
)

// Guards against refusing a request of a daemon that has just started and learns of other daemons only
// while the request waits.
func TestHelpersBecomeKnownDuringRequest(t *testing.T) {
	const knownAfter = 300 * spanrill.Millis(1)
	playFleet(t, 8, func(f *simFleet) {
		started := f.start("started", "z0")
		f.cut(simSilent, []*simDaemon{started})
		f.group.Start(f.ctx, "introduce", func(ctx context.Context) error {
			defer f.introduceAll()
			return f.wait(ctx, knownAfter)
		})
		if r := started.request(f.ctx); r.served != 1 {
			f.Errorf("results %+v, want the request served", r)
		}
	})
}
