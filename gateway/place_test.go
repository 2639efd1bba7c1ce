package gateway

import (
	"testing"
	"testing/synctest"

	"spanrill"
	"spanrill/coordination/lease"
)

// Guards against a daemon short of processor time that takes its own silence for an outage of the store and
// orders layers without the lease, which another one may hold.
func TestNoPlacementWithoutLeaseWhileTheStoreAnswers(t *testing.T) {
	const from = simStart + 2*spanrill.Second
	away := func(_ int, now spanrill.Millis) (spanrill.Millis, error) {
		if now >= from {
			return simCallTimeout, spanrill.ErrUnavailable
		}
		return simCallTime, nil
	}
	for _, daemons := range []int{6, 30, 83} {
		starved, silent := withoutFaults("requests take the processor time"), withoutFaults("the store is away for all")
		starved.starved = func(rank int, now spanrill.Millis) bool {
			return rank%3 != 1 && now >= from && (now-from)%(3*spanrill.Second) >= simStep
		}
		silent.storeCall = away
		for _, sc := range []scenario{starved, silent} {
			synctest.Test(t, func(t *testing.T) {
				f := newDrainFleet(daemons, 3, sc)
				f.end = from + 6*spanrill.Second
				holder, placed := f.daemons[0], false
				for _, d := range f.daemons {
					d.lease = lease.New(nil, d, "placement", d.member.Name)
					d.leaseHeldAt.Store(-int64(holderGrace) * 100)
				}
				for now := simStart; now < f.end; now += simStep {
					f.advance(now)
					holder.leaseHeldAt.Store(int64(holder.Now() - spanrill.Second))
					for _, d := range f.daemons {
						_, places := d.mayPlace()
						placed = placed || places
					}
				}
				if want := !sc.starved(0, from+simStep); placed != want {
					t.Errorf("%d daemons, %s: a daemon places without the lease: %v, want %v", daemons, sc.name, placed, want)
				}
			})
		}
	}
}
