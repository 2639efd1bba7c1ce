package reach

import (
	"fmt"
	"testing"

	"spanrill"
)

// Guards against a silent upstream that costs a connection of each of many helpers, and each of those
// further ones.
func TestSilentUpstreamCostsFewConnections(t *testing.T) {
	const (
		checksOfHelper = 2 * otherUpstreams
		most           = 1 + maxAskedAtOnce*(1+checksOfHelper)
	)
	for _, daemons := range []int{30, 83} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			playFleet(t, daemons, func(f *simFleet) {
				f.send(spanrill.Second, callInterval)
				addr := f.upstreams[0]
				f.set(func() { f.silent[addr], f.dials = true, 0 })
				for _, d := range f.daemons {
					if conn, err := d.dialer.DialContext(f.ctx, "tcp", addr); err == nil {
						_ = conn.Close()
						f.Errorf("%s is connected to a silent upstream", d.name)
					}
				}
				f.pass(simDialTimeout)
				if each := float64(f.dials) / float64(daemons); each > most {
					f.Errorf("a connection to a silent upstream costs %.1f connections, want at most %d", each, most)
				} else {
					f.Logf("a connection to a silent upstream costs %.1f connections", each)
				}
			})
		})
	}
}
