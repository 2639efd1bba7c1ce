package granting

import (
	"context"
	"errors"

	"spanrill"
	"spanrill/protocol/peermsg"
)

// Peers, Source and Clock of a simDaemon, for its Granter.

// since returns since when a daemon does not reach another one, or 0.
func (d *simDaemon) since(o *simDaemon) spanrill.Millis {
	if o == d {
		return 0
	}
	if d.sim.isCut(d, o) {
		return d.sim.cutAt
	}
	return o.down
}

// takesForDead reports whether a daemon does not count another one among the live.
func (d *simDaemon) takesForDead(o *simDaemon) bool {
	since := d.since(o)
	if d.sim.gossip {
		since = o.down
	}
	return since > 0 && d.sim.now-since > simDead || o != d && d.sim.now-o.started < simLearning
}

func (d *simDaemon) Granters(string) (granters []peermsg.Member) {
	for _, o := range d.sim.order(d) {
		m := peermsg.Member{Name: o.name, PeerAddr: o.name}
		if o == d {
			m.PeerAddr = ""
		}
		if !d.takesForDead(o) && len(granters) < 2 {
			granters = append(granters, m)
		}
	}
	return granters
}

func (d *simDaemon) Unresponsive(name string) bool {
	o := d.sim.daemon(name)
	if o == nil {
		return true
	}
	since := d.since(o)
	return since > 0 && d.sim.now-since > simUnresponsive
}

// Fleet counts the live daemons each fleetInterval.
func (d *simDaemon) Fleet() (daemons int, known bool) {
	if d.live > 0 && d.sim.now-d.liveAt < fleetInterval {
		return d.live, d.knows()
	}
	d.live, d.liveAt = 0, d.sim.now
	for _, o := range d.sim.daemons {
		if !d.takesForDead(o) {
			d.live++
		}
	}
	return d.live, d.knows()
}

// knows reports whether the daemon has been up for so long that it knows others and engines.
func (d *simDaemon) knows() bool { return d.sim.now-d.started >= simLearning }

func (d *simDaemon) Request(context.Context, string, uint8, any, any) error {
	return errors.New("not simulated")
}

func (d *simDaemon) Send(addr string, _ uint8, message any) error {
	if o := d.sim.daemon(addr); o != nil {
		d.sim.send(d, o, func() { o.notice(message.(*peermsg.RoomNotice)) })
	}
	return nil
}

func (d *simDaemon) Divides(string) bool { return true }

// Chains returns the chains as the daemon knows them. Daemons learn of a change within a second.
func (d *simDaemon) Chains(string) ([]spanrill.RoomChain, bool) {
	if d.sim.before != nil && d.sim.now-d.sim.changed < d.lag {
		return d.sim.before, d.knows()
	}
	return d.sim.chains, d.knows()
}

func (d *simDaemon) Told(string) (map[uint32]spanrill.RoomUse, spanrill.Millis) {
	if !d.knows() {
		return nil, 0
	}
	if d.sim.toldAsOf < d.jumpedAt { // noted by the clock before its jump
		return d.sim.told, d.sim.toldAsOf
	}
	return d.sim.told, d.sim.toldAsOf + d.jump
}

func (d *simDaemon) Now() spanrill.Millis  { return d.sim.now + d.jump }
func (d *simDaemon) Unix() spanrill.Millis { return d.Now() }
func (d *simDaemon) After(spanrill.Millis) <-chan spanrill.Millis {
	return nil
}

// daemon returns the daemon with a name, whether it is up or not.
func (s *sim) daemon(name string) *simDaemon { return s.byName[name] }
