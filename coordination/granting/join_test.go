package granting

import (
	"testing"

	"spanrill"
	"spanrill/protocol/peermsg"
	"spanrill/transport/peernet"
)

// roundTrip is the longest time of a question and its answer.
const roundTrip spanrill.Millis = 4

// Guards the ways of a request between two daemons: granted, waiting, refused at once or late; and
// that released room is free within 200 ms.
func TestFleetWaysOfRequest(t *testing.T) {
	playFleet(t, 3, 200, func(n *fleetNet) {
		d, granter := n.daemons[2], n.daemons[0]
		first, second := d.start(0, roundTrip), d.start(1000, roundTrip)
		d.refused(0, roundTrip)
		waiting := d.enter(1000)
		n.pass(100)
		first.Release()
		e := <-waiting
		if e.refusal != nil || e.took > 100+200 {
			n.Fatalf("refused by %v after %d ms, want a start 200 ms after room came free", e.refusal, e.took)
		}
		d.refused(300, 300+noticeMargin)
		e.grant.Release()
		second.Release()
		n.pass(200)
		if got := granter.claims(); got != 0 {
			n.Errorf("%d claims 200 ms after the last release, want 0", got)
		}
	})
}

// Guards that a daemon which gives up tells so: room that was granted without its knowledge is free
// within 200 ms.
func TestFleetLostReply(t *testing.T) {
	playFleet(t, 3, 1000, func(n *fleetNet) {
		n.dropIf(func(kind peernet.Kind, isReply bool) bool { return kind == peermsg.KindRoom && isReply })
		e := <-n.daemons[2].enter(1000)
		if e.refusal != nil || e.took > 2*requestTimeout {
			n.Fatalf("refused by %v after %d ms, want a start by the share", e.refusal, e.took)
		}
		n.dropIf(nil)
		if given := n.daemons[0].granter.Counts().Given[0]; given != 1 {
			n.Fatal("the granting daemon has not granted the request whose reply is lost")
		}
		n.pass(200)
		if a, b := n.daemons[0].claims(), n.daemons[1].claims(); a+b != 0 {
			n.Errorf("%d and %d claims 200 ms after the daemon gave up, want 0", a, b)
		}
	})
}

// Guards that lost reports are made good by those that name all that is held, within 1.5 s, and that
// no running request loses its room.
func TestFleetLostReports(t *testing.T) {
	playFleet(t, 3, 20_000, func(n *fleetNet) {
		d, granter := n.daemons[2], n.daemons[0]
		var grants []spanrill.RoomGrant
		for range 20 {
			grants = append(grants, d.start(0, roundTrip))
			n.pass(20)
		}
		n.dropIf(func(kind peernet.Kind, _ bool) bool { return kind == peermsg.KindRoomReport })
		for _, g := range grants[:10] {
			g.Release()
		}
		n.pass(200)
		n.dropIf(nil)
		n.pass(1300)
		if got := granter.claims(); got < 10 || got > 10+maxAhead {
			n.Errorf("%d claims 1.5 s after the lost reports, want 10", got)
		}
		running := 10
		for range 100 {
			d.start(0, roundTrip)
			running++
			n.pass(spanrill.Millis(1 + n.random.IntN(99)))
			if got := granter.claims(); got < running {
				n.Fatalf("%d claims, want %d: running requests have lost their room", got, running)
			}
		}
	})
}

// Guards grants ahead of need: they are used, and each use is known to the granting daemon before the
// grant lapses.
func TestFleetAhead(t *testing.T) {
	playFleet(t, 3, 100_000, func(n *fleetNet) {
		d, granter := n.daemons[2], n.daemons[0]
		const requests = 200
		for i := range requests {
			d.start(0, roundTrip)
			n.pass(spanrill.Millis(20 + n.random.IntN(250)))
			if i%3 == 0 {
				n.pass(spanrill.Millis(n.random.IntN(900)))
			}
		}
		n.pass(2 * spanrill.Second)
		counts := granter.granter.Counts()
		n.Logf("%d of %d requests used grants ahead, %d given, %d lapsed", d.client.Counts().Ahead, requests, counts.Ahead, counts.AheadLapsed)
		if d.client.Counts().Ahead < requests/4 || granter.claims() != requests {
			n.Errorf("%d requests used grants ahead and %d claims, want %d or more and %d", d.client.Counts().Ahead, granter.claims(), requests/4, requests)
		}
	})
}

// Guards the change to the standby: requests that meet a dead granting daemon wait 50 ms, at most one
// a second at each daemon, and start.
func TestFleetGranterKilled(t *testing.T) {
	playFleet(t, 8, 100_000, func(n *fleetNet) {
		n.daemons[0].kill()
		killed := n.now()
		slow := make([]int, len(n.daemons))
		for n.now() < killed+3*spanrill.Second {
			for i, d := range n.daemons[1:] {
				e := <-d.enter(1000)
				if e.refusal != nil || e.took > requestTimeout+2*roundTrip {
					n.Fatalf("refused by %v after %d ms", e.refusal, e.took)
				}
				if e.took > roundTrip {
					slow[i]++
				}
				if e.grant.First() == 0 || d.client.Counts().Shared > 0 {
					n.Fatal("started without the standby")
				}
				e.grant.Release()
			}
			n.pass(10)
		}
		for _, k := range slow {
			if k > 3 {
				n.Errorf("requests that waited for the dead daemon in 3 s, by daemon: %v, want 3 at most", slow)
			}
		}
	})
}

// Guards against stale decisions of a daemon that was stopped for 5 s. Daemons ask it again within a
// second, and meanwhile the standby gives room, too: less than two that know nothing of each other.
// After that and a run there is never more running than fits. Nothing is left behind.
func TestFleetGranterFrozen(t *testing.T) {
	const fit = 50
	playFleet(t, 6, 100*fit, func(n *fleetNet) {
		l := &fleetLoad{fleetNet: n}
		l.play(2*spanrill.Second, 4)
		n.daemons[0].freeze()
		l.play(5*spanrill.Second, 4)
		n.daemons[0].thaw()
		l.takeMost()
		l.play(silentPassOver+runTime, 4)
		early := l.takeMost()
		l.play(3*spanrill.Second, 4)
		late := l.takeMost()
		n.Logf("%d requests at once of %d in 2 s after the thaw, %d after that", early, fit, late)
		if early >= 2*fit || late > fit {
			n.Errorf("%d requests at once after the thaw and %d later, want under %d, and %d at most", early, late, 2*fit, fit)
		}
		l.wantNothingLeft()
	})
}

// Guards against losing room for ever, and against giving more than the part of a standby twice,
// when one message in ten gets lost.
func TestFleetLosses(t *testing.T) {
	const fit = 50
	playFleet(t, 6, 100*fit, func(n *fleetNet) {
		l := &fleetLoad{fleetNet: n}
		n.lose(0.1)
		l.play(5*spanrill.Second, 4)
		n.lose(0)
		most := l.takeMost()
		n.Logf("%d requests at once of %d", most, fit)
		if float64(most) > (1+standbyShare)*fit {
			n.Errorf("%d requests at once, want %.0f at most", most, (1+standbyShare)*fit)
		}
		l.wantNothingLeft()
	})
}

// Guards against room that a dead daemon holds: others get it within 3 s.
func TestFleetDaemonDies(t *testing.T) {
	playFleet(t, 4, 1000, func(n *fleetNet) {
		for range 10 {
			n.daemons[2].start(0, roundTrip)
		}
		n.daemons[2].kill()
		n.daemons[3].start(5000, 3000)
	})
}

// Guards what a daemon that is cut off starts: its equal part, and none while it is over that. Back
// again it asks the granting daemon within a second.
func TestFleetDaemonCutOff(t *testing.T) {
	playFleet(t, 5, 2000, func(n *fleetNet) {
		d := n.daemons[4]
		d.moveTo(1)
		n.pass(spanrill.Second)
		n.learn() // it takes the others for dead
		started := 0
		for range 20 {
			if e := <-d.enter(0); e.refusal == nil {
				started++
			}
		}
		if want := 20 / 5; started < want-1 || started > want || d.client.Counts().Shared != uint64(started) {
			n.Errorf("%d requests started while cut off, want the share of %d", started, want)
		}
		d.moveTo(0)
		n.learn()
		n.pass(silentPassOver)
		asked := d.client.Counts().Granted
		d.start(0, roundTrip)
		if d.client.Counts().Granted != asked+1 {
			n.Error("a daemon that is back did not ask the granting one")
		}
	})
}

// Guards against a group that is cut off together and divides all room once more: its daemons start
// requests within their shares.
func TestFleetMinority(t *testing.T) {
	playFleet(t, 10, 2000, func(n *fleetNet) {
		minority := n.daemons[7:]
		for _, d := range minority {
			d.moveTo(1)
		}
		n.pass(spanrill.Second)
		n.learn()
		started := 0
		for range 20 {
			for _, d := range minority {
				if e := <-d.enter(0); e.refusal == nil {
					started++
				}
			}
			n.pass(100)
		}
		if most := 20 * len(minority) / len(n.daemons); started > most || started == 0 {
			n.Errorf("%d requests started in a group of %d out of %d daemons, want 1 to %d of 20", started, len(minority), len(n.daemons), most)
		}
		n.daemons[2].start(0, roundTrip) // the others go on
	})
}

// fleetLoad plays requests of all daemons that run for runTime.
type fleetLoad struct {
	*fleetNet
	most int
}

// takeMost returns the highest number of running requests since the last call.
func (l *fleetLoad) takeMost() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := l.most
	l.most = l.running
	return most
}

// wantNothingLeft checks that nothing waits or holds room 3 s after the last request.
func (l *fleetLoad) wantNothingLeft() {
	l.Helper()
	l.play(3*spanrill.Second, 0)
	if a, b := l.daemons[0].claims(), l.daemons[1].claims(); a+b != 0 {
		l.Errorf("%d and %d claims after all have ended, want 0", a, b)
	}
	for _, d := range l.daemons {
		c := d.client
		c.mu.Lock()
		if n := len(c.waiters) + len(c.service(testService).running) + len(c.service(testService).outboxes); n != 0 {
			l.Errorf("%d waiters, running requests and outboxes left at %s, want 0", n, d.name)
		}
		c.mu.Unlock()
	}
}

// play lets so many requests arrive every 50 ms.
func (l *fleetLoad) play(d spanrill.Millis, perStep int) {
	for end := l.now() + d; l.now() < end; l.pass(50) {
		for range perStep {
			box := l.daemons[2+l.random.IntN(len(l.daemons)-2)]
			go l.request(box)
		}
	}
}

func (l *fleetLoad) request(box *fleetDaemon) {
	const maxWait = 200
	e := <-box.enter(maxWait)
	if e.took > maxWait+noticeMargin+2*(requestTimeout+roundTrip) {
		l.Errorf("decided after %d ms, although the request waits for %d ms only", e.took, maxWait)
	}
	if e.refusal != nil {
		return
	}
	l.count(1)
	<-l.clock.After(runTime)
	l.count(-1)
	e.grant.Release()
}

func (l *fleetLoad) count(change int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running += change
	l.most = max(l.most, l.running)
}
