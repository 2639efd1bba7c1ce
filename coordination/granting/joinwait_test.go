package granting

import (
	"testing"

	"spanrill"
)

// Guards that a request which waits at a daemon that dies, or is frozen, asks the standby with the
// time that it has left.
func TestFleetWaiterOfSilentGranter(t *testing.T) {
	for _, c := range []struct {
		name  string
		fail  func(*fleetDaemon)
		asked bool // other requests notice the failure first
	}{{"killed", (*fleetDaemon).kill, true}, {"killed, quiet", (*fleetDaemon).kill, false}, {"frozen", (*fleetDaemon).freeze, true}} {
		t.Run(c.name, func(t *testing.T) {
			playFleet(t, 4, 1000, func(n *fleetNet) {
				d, granter := n.daemons[2], n.daemons[0]
				for range 10 {
					d.start(0, roundTrip)
				}
				waiting := d.enter(2000)
				n.pass(50)
				c.fail(granter)
				if c.asked {
					go func() { <-d.enter(0) }()
				}
				e := <-waiting
				limit := 50 + newsTimeout + reportPoll + 2*requestTimeout + 2*roundTrip + answerTrust
				if c.asked {
					limit = 50 + requestTimeout + 3*roundTrip
				}
				if e.refusal != nil || e.took > limit {
					n.Errorf("refused by %v after %d ms, want a start by the standby within %d ms", e.refusal, e.took, limit)
				}
			})
		})
	}
}

// Guards against requests that leave a granting daemon only because no other request has asked it for
// a while.
func TestFleetLongWait(t *testing.T) {
	playFleet(t, 3, 100, func(n *fleetNet) {
		d := n.daemons[2]
		held := d.start(0, roundTrip)
		waiting := d.enter(30 * spanrill.Second)
		n.pass(2 * contactRetention)
		held.Release()
		e := <-waiting
		if e.refusal != nil || e.took > 2*contactRetention+200 || d.client.Counts().Waited != 1 {
			n.Errorf("refused by %v after %d ms and %d waits, want a start after %d ms and 1", e.refusal, e.took, d.client.Counts().Waited, 2*contactRetention)
		}
	})
}
