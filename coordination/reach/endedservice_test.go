package reach

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"spanrill"
)

// Guards against taking a service whose few upstreams have all ended for one to which the path is lost,
// so that the refused connections do not count as ended processes.
func TestServiceOfWhichAllHaveEndedIsNoLostPath(t *testing.T) {
	for _, daemons := range []int{1, 3, 30} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			playFleet(t, daemons, func(f *simFleet) {
				ended, left := simServices[0], []string{simServices[0] + "0", simServices[0] + "1"}
				f.upstreams = slices.DeleteFunc(f.upstreams, func(addr string) bool { return f.serviceOf[addr] == ended && !slices.Contains(left, addr) })
				f.cut(simReset, f.daemons, ended)
				for range 5 {
					for _, d := range f.daemons {
						for _, addr := range left {
							_, err := d.dialer.DialContext(f.ctx, "tcp", addr)
							if errors.Is(err, spanrill.ErrNoPath) {
								t.Errorf("%s: %v, want a refusal by the upstream", d.name, err)
								return
							}
						}
					}
				}
				f.pass(spanrill.Second)
				for _, d := range f.daemons {
					if lost := d.dialer.LostServices(); len(lost) > 0 {
						t.Errorf("%s has lost %v, want none", d.name, lost)
					}
				}
			})
		})
	}
}
