package granting

import (
	"slices"

	"spanrill"
	"spanrill/protocol/peermsg"
)

// simTries is how often a daemon sends a request to engines that refuse it.
const simTries = 3

// chain returns the chain that begins at an engine, or nil if the daemon does not know it.
func (d *simDaemon) chain(first uint32) *spanrill.RoomChain {
	chains, _ := d.Chains(testService)
	for i := range chains {
		if chains[i].First() == first {
			return &chains[i]
		}
	}
	return nil
}

func (d *simDaemon) outbox(g peermsg.Member) *outbox {
	o := d.outboxes[g.Name]
	if o == nil {
		o = newOutbox(d.Now(), g)
		d.outboxes[g.Name] = o
	}
	o.granter = g
	return o
}

// startByShare decides on a request as Client.enterByShare does.
func (d *simDaemon) startByShare(r *simSend) {
	chains, known := d.Chains(testService)
	mean := simMeanPrompt + simMeanAnswer
	avoid := d.refusingNow()
	for engine := range r.avoid {
		avoid[engine] = true
	}
	rooms := chainRooms(chains, mean)
	r.box = nil
	daemons := d.fleet.largest(d.Now())
	if !known || daemons == 0 { // the daemon chooses by itself
		if !d.slow.start(d.Now()) {
			d.refuse(r, 0, maxSlowRetry)
			return
		}
		if first, ok := drawChain(rooms, avoid, d.sim.random.Float64()); ok {
			d.start(r, first)
			return
		}
		d.refuse(r, 0, maxShareRetry)
		return
	}
	decision := share{rooms: rooms, meanSize: mean, daemons: daemons, rounding: d.rounding}
	first, ok := decision.start(shareRequest{class: r.caller.class, size: r.size(), running: d.running, avoid: avoid, draw: d.sim.random.Float64()})
	if !ok {
		d.refuse(r, 0, maxShareRetry)
		return
	}
	d.start(r, first)
}

func (r *simSend) size() float64 { return float64(r.caller.prompt + r.caller.answer) }

// start sends a request to the engines of a chain.
func (d *simDaemon) start(r *simSend, first uint32) {
	c := *d.chain(first)
	d.running += r.size()
	d.sim.after(d.sim.delay(), func() { d.arrive(r, c) })
}

// arrive takes room at the engines, which refuse what they cannot hold.
func (d *simDaemon) arrive(r *simSend, c spanrill.RoomChain) {
	s := d.sim
	if d.down > 0 && !d.frozen {
		return // killed meanwhile
	}
	tokens := int64(float64(r.caller.prompt) + r.caller.real/2)
	if s.engines.gone[c.First()] {
		s.after(s.delay(), func() { d.receive(func() { d.refusedBy(r, c.First(), false) }) })
		return
	}
	full := s.engines.take(c, tokens)
	s.starts = append(s.starts, simStart{s.now, c.First(), full != 0})
	if full != 0 {
		s.after(s.delay(), func() { d.receive(func() { d.refusedBy(r, full, true) }) })
		return
	}
	calls := s.engines.holding[c.First()].Calls
	event, whole := s.engines.times(c, r.caller.prompt, r.caller.real)
	d.holds[r] = func() { s.engines.add(c, -tokens, -1) }
	s.after(event+s.delay(), func() { d.receive(func() { d.began(r, c.First(), int(calls)) }) })
	s.after(whole, func() {
		d.release(r)
		s.after(s.delay(), func() { d.receive(func() { d.ended(r); delete(d.open, r) }) })
	})
}

// release gives back what a request holds at engines, unless that has been done.
func (d *simDaemon) release(r *simSend) {
	if release := d.holds[r]; release != nil {
		release()
		delete(d.holds, r)
	}
}

// began handles the first event of an answer.
func (d *simDaemon) began(r *simSend, first uint32, calls int) {
	d.loads.record(d.Now(), first, calls)
	if r.caller.eventAt == 0 {
		r.caller.eventAt = d.sim.now
	}
	d.checkHang(r)
}

// refusedBy handles the refusal of an engine, or that it is gone.
func (d *simDaemon) refusedBy(r *simSend, engine uint32, isFull bool) {
	d.ended(r)
	r.tries++
	r.avoid[engine] = true
	r.refusedBy = nil
	if isFull {
		r.refusedBy = []uint32{engine}
	}
	if r.tries < simTries && d.Now()-r.arrived < simTargets[r.caller.class] {
		d.enter(r)
		return
	}
	if isFull {
		d.slow.recordRefusal(d.Now())
	}
	d.reportRefusing(r)
	d.refuse(r, 0, maxSpreadRetry)
}

// reportRefusing tells the granting daemon of an engine that refused a request.
func (d *simDaemon) reportRefusing(r *simSend) {
	for _, g := range d.Granters(testService) {
		if k := d.contacts[g.Name]; k == nil || !k.isSilent && d.Now() >= k.passUntil {
			for _, engine := range r.refusedBy {
				d.outbox(g).refuse(engine)
			}
			return
		}
	}
}

// ended gives the room of a request back.
func (d *simDaemon) ended(r *simSend) {
	d.running -= r.size()
	if r.box != nil {
		r.box.end(r.id)
		d.report()
	}
}

// refuse tells the caller that its request is refused, with a retry time as Client.refuse does.
func (d *simDaemon) refuse(r *simSend, retryAfter, longest spanrill.Millis) {
	if retryAfter <= 0 {
		remaining := simDeadline - (d.sim.now - r.caller.sentAt)
		longest = min(longest, remaining/retriesInTime)
		retryAfter = minSpreadRetry + spanrill.Millis(d.sim.random.Float64()*float64(max(0, longest-minSpreadRetry)))
	}
	d.checkHang(r)
	delete(d.open, r)
	d.sim.refused(r.caller, min(retryAfter, maxRetryAfter))
}

// checkHang counts requests that were decided later than 100 ms after their objective.
func (d *simDaemon) checkHang(r *simSend) {
	wait := simTargets[r.caller.class]
	if r.caller.refusals > 0 {
		wait = max(wait, returnWait)
	}
	if d.sim.now-r.arrivedAt > wait+100 && !d.wasFrozen {
		d.sim.hung++
	}
}

// leave wakes the requests that wait at a granting daemon, which ask the next one.
func (d *simDaemon) leave(isLeft func(*simSend) bool) {
	var left []*simSend
	for _, r := range d.waiting {
		if r.waits && isLeft(r) {
			left = append(left, r)
		}
	}
	slices.SortFunc(left, func(a, b *simSend) int { return int(a.id) - int(b.id) })
	for _, r := range left {
		d.settle(r, peermsg.RoomUnknown, 0, 0)
	}
}

// leaveSilent does so for granting daemons that do not answer.
func (d *simDaemon) leaveSilent() {
	if len(d.waiting) == 0 {
		return
	}
	granters := d.Granters(testService)
	lost := map[string]bool{}
	d.leave(func(r *simSend) bool {
		name := r.granter.Name
		if _, ok := lost[name]; !ok {
			lost[name] = r.granter.PeerAddr != "" && d.isLost(granters, name)
		}
		return lost[name]
	})
}

func (d *simDaemon) isLost(granters []peermsg.Member, name string) bool {
	if !slices.ContainsFunc(granters, func(g peermsg.Member) bool { return g.Name == name }) {
		return true
	}
	k := d.contacts[name]
	if k == nil {
		return d.Unresponsive(name)
	}
	return k.isSilent || d.Unresponsive(name) && !k.isTrusted(d.Now())
}

// report sends the reports that are due.
func (d *simDaemon) report() {
	now := d.Now()
	granters := d.Granters(testService)
	current := ""
	for _, g := range granters {
		if o := d.outboxes[g.Name]; o != nil {
			o.listedAt = now
		}
		if k := d.contacts[g.Name]; current == "" && (g.PeerAddr == "" || k == nil || !k.isSilent && now >= k.passUntil) {
			current = g.Name
		}
	}
	for _, o := range d.boxes() {
		name := o.granter.Name
		if o.isDeparted(now) {
			delete(d.outboxes, name)
		} else if o.isDue(now) {
			d.sendReport(o, name == current)
		}
	}
}

// boxes returns the outboxes in an order that does not depend on chance.
func (d *simDaemon) boxes() (boxes []*outbox) {
	for _, o := range d.outboxes {
		boxes = append(boxes, o)
	}
	slices.SortFunc(boxes, func(a, b *outbox) int {
		if a.granter.Name < b.granter.Name {
			return -1
		}
		return 1
	})
	return boxes
}

func (d *simDaemon) sendReport(o *outbox, withLoads bool) {
	report := o.take(d.Now())
	report.Daemon, report.Service = d.name, testService
	if withLoads {
		firsts := map[uint32]bool{}
		chains, _ := d.Chains(testService)
		for i := range chains {
			firsts[chains[i].First()] = true
		}
		report.Loads = d.loads.take(d.Now(), firsts)
	}
	if o.granter.PeerAddr == "" {
		d.granter.HandleReport(report)
	} else if to := d.sim.daemon(o.granter.PeerAddr); to != nil {
		d.sim.send(d, to, func() { to.granter.HandleReport(report) })
	}
	if report.Complete && o.isIdle() {
		delete(d.outboxes, o.granter.Name)
	}
}
