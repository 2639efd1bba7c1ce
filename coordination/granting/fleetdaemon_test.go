package granting

import (
	"fmt"

	"spanrill"
	"spanrill/protocol/peermsg"
)

// simDaemon is a daemon with a real Granter, and a model of the Client that is made of its pure parts.
type simDaemon struct {
	sim      *sim
	index    int
	name     string
	zone     string
	started  spanrill.Millis
	down     spanrill.Millis // since when it is killed or frozen, or 0
	frozen   bool
	pending  []func() // messages for a frozen daemon
	lag      spanrill.Millis
	jump     spanrill.Millis // of its clock
	jumpedAt spanrill.Millis

	wasFrozen bool
	open      map[*simSend]bool
	holds     map[*simSend]func() // give back what requests hold at engines
	live      int                 // daemons, as of liveAt
	liveAt    spanrill.Millis

	granter    *Granter
	contacts   contacts
	fleet      fleetSize
	refusing   refusingEngines
	loads      engineLoads
	outboxes   map[string]*outbox
	ahead      []aheadGrant
	waiting    map[uint64]*simSend
	running    float64 // tokens
	rounding   float64
	slow       slowStart
	lastID     uint64
	observedAt spanrill.Millis
}

func newSimDaemon(s *sim, index int, started spanrill.Millis) *simDaemon {
	d := &simDaemon{
		sim: s, index: index, name: fmt.Sprint("d", index, " ", started), zone: zoneName(index), started: started,
		lag: spanrill.Millis(s.random.IntN(1000)), contacts: contacts{}, refusing: refusingEngines{}, loads: engineLoads{},
		outboxes: map[string]*outbox{}, waiting: map[uint64]*simSend{}, open: map[*simSend]bool{}, holds: map[*simSend]func(){}, rounding: s.random.Float64(), lastID: s.random.Uint64() % firstIDs,
	}
	s.byName[d.name] = d
	d.granter = NewGranter(d, d, s.parts(), d)
	d.granter.OnNotice(d.notice)
	return d
}

// simSend is a request of a caller at a daemon.
type simSend struct {
	caller    *simCaller
	arrived   spanrill.Millis // by the clock of the daemon
	arrivedAt spanrill.Millis
	avoid     map[uint32]bool
	refusedBy []uint32
	tries     int // sends to engines

	id      uint64 // at the granting daemon that is asked
	granter peermsg.Member
	asked   int // granting daemons
	box     *outbox
	noticed *peermsg.RoomNotice // before the reply
	waits   bool
}

// receive handles a message now, or when the daemon is thawed.
func (d *simDaemon) receive(handle func()) {
	switch {
	case d.frozen:
		d.pending = append(d.pending, handle)
	case d.down == 0:
		handle()
	}
}

// poll does what the daemon does periodically.
func (d *simDaemon) poll() {
	if d.down > 0 || (d.sim.now+spanrill.Millis(d.index))%reportPoll != 0 {
		return
	}
	if (d.sim.now+spanrill.Millis(d.index))%tickInterval == 0 {
		d.granter.deliver(d.granter.tick())
	}
	d.observe(fleetInterval)
	d.leaveSilent()
	d.report()
}

func (d *simDaemon) observe(interval spanrill.Millis) {
	if d.Now()-d.observedAt < interval {
		return
	}
	d.observedAt = d.Now()
	if n, known := d.Fleet(); known {
		d.fleet.observe(d.Now(), n)
	}
}

// enter handles a request as Client.Enter does.
func (d *simDaemon) enter(r *simSend) {
	now := d.Now()
	if r.arrivedAt == 0 {
		r.arrived, r.arrivedAt = now, d.sim.now
		d.open[r] = true
	}
	d.observe(fleetInterval)
	for _, engine := range r.refusedBy {
		d.refusing.record(now, engine)
		d.slow.recordRefusal(now)
	}
	if d.takeAhead(now, r) {
		return
	}
	r.asked = 0
	d.ask(r)
}

func (d *simDaemon) takeAhead(now spanrill.Millis, r *simSend) bool {
	var taken aheadGrant
	d.ahead, taken = pickAhead(d.ahead, now, func(first uint32) bool {
		c := d.chain(first)
		return c != nil && !usesAny(c, r.avoid) && !usesAny(c, d.refusingNow())
	})
	if taken.first == 0 {
		return false
	}
	d.lastID++
	r.id, r.box = d.lastID, d.outbox(taken.granter)
	c := r.caller
	r.box.use(peermsg.RoomUsed{Ahead: taken.id, ID: r.id, Class: int(c.class), Account: c.account, Prompt: c.prompt, Answer: c.answer})
	for _, engine := range r.refusedBy {
		r.box.refuse(engine)
	}
	d.report()
	d.start(r, taken.first)
	return true
}

// refusingNow returns the engines that have just refused a request.
func (d *simDaemon) refusingNow() map[uint32]bool {
	engines := map[uint32]bool{}
	for engine, at := range d.refusing {
		if d.Now()-at <= refusalMemory {
			engines[engine] = true
		}
	}
	return engines
}

// ask asks the next granting daemon that may answer, or starts the request by this daemon's share.
func (d *simDaemon) ask(r *simSend) {
	granters := d.Granters(testService)
	for ; r.asked < len(granters); r.asked++ {
		g := granters[r.asked]
		if d.mayAsk(g, len(granters) == 1) {
			d.askOnce(r, g)
			return
		}
	}
	d.startByShare(r)
}

func (d *simDaemon) mayAsk(g peermsg.Member, alone bool) bool {
	if g.PeerAddr == "" {
		d.observe(0)
		return !d.fleet.isMinority(d.Now())
	}
	return d.contacts.begin(d.Now(), g.Name, !alone && d.Unresponsive(g.Name))
}

func (d *simDaemon) askOnce(r *simSend, g peermsg.Member) {
	d.lastID++
	r.id, r.granter, r.box, r.noticed, r.waits = d.lastID, g, d.outbox(g), nil, false
	r.box.hold(r.id)
	d.waiting[r.id] = r
	m := d.message(r)
	if g.PeerAddr == "" {
		d.replied(r, d.granter.HandleRequest(m), d.Now())
		return
	}
	id, sentAt, to := r.id, d.Now(), d.sim.daemon(g.PeerAddr)
	if to != nil {
		d.sim.send(d, to, func() {
			reply := to.granter.HandleRequest(m)
			d.sim.send(to, d, func() {
				if r.id == id && d.waiting[id] == r && !r.waits {
					d.endContact(g, reply)
					d.replied(r, reply, sentAt)
				}
			})
		})
	}
	d.sim.after(requestTimeout, func() { d.receive(func() { d.timeOut(r, id) }) })
}

func (d *simDaemon) message(r *simSend) *peermsg.RoomRequest {
	c := r.caller
	elapsed := d.Now() - r.arrived
	wait := max(0, simTargets[c.class]-elapsed)
	return &peermsg.RoomRequest{
		Daemon: d.name, Addr: d.name, ID: r.id, Service: testService, Class: int(c.class), Account: c.account, Content: c.content,
		Prompt: c.prompt, Answer: c.answer, Zone: d.zone, MaxWait: wait, Remaining: max(0, simDeadline-(d.sim.now-c.sentAt)),
		Avoid: avoidList(r.avoid), RefusedBy: r.refusedBy, Standby: r.asked > 0, Daemons: d.fleet.current,
	}
}

func (d *simDaemon) endContact(g peermsg.Member, reply *peermsg.RoomReply) {
	result := contactAnswered
	if reply == nil {
		result = contactSilent
	} else if reply.State == peermsg.RoomUnknown {
		result = contactNotGranting
	}
	d.contacts.end(d.Now(), g.Name, result)
	if result == contactSilent {
		d.leave(func(w *simSend) bool { return w.granter.Name == g.Name })
	}
}

// timeOut ends a question that got no reply.
func (d *simDaemon) timeOut(r *simSend, id uint64) {
	if r.id != id || d.waiting[id] != r || r.waits {
		return
	}
	d.endContact(r.granter, nil)
	if r.noticed != nil {
		d.settle(r, r.noticed.State, r.noticed.First, r.noticed.RetryAfter)
		return
	}
	d.settle(r, peermsg.RoomUnknown, 0, 0)
}

func (d *simDaemon) replied(r *simSend, reply *peermsg.RoomReply, sentAt spanrill.Millis) {
	for _, g := range reply.Ahead {
		if g.Lapse > aheadMargin && len(d.ahead) < maxAheadKept && !hasAhead(d.ahead, r.granter.Name, g.ID) {
			d.ahead = append(d.ahead, aheadGrant{g.ID, g.First, sentAt + min(g.Lapse, maxAheadAge) - aheadMargin, r.granter})
		}
	}
	if reply.State != peermsg.RoomWaiting {
		d.settle(r, reply.State, reply.First, reply.RetryAfter)
		return
	}
	if r.noticed != nil {
		d.settle(r, r.noticed.State, r.noticed.First, r.noticed.RetryAfter)
		return
	}
	r.waits = true
	id := r.id
	d.sim.after(max(d.message(r).MaxWait, min(reply.Wait, returnWait))+noticeMargin, func() {
		d.receive(func() {
			if d.waiting[id] == r {
				d.forgetWaiter(r, true)
				d.refuse(r, 0, maxSpreadRetry)
			}
		})
	})
}

// notice handles a message of a granting daemon.
func (d *simDaemon) notice(n *peermsg.RoomNotice) {
	r := d.waiting[n.ID]
	switch {
	case r == nil && n.State == peermsg.RoomGranted:
		for _, g := range d.Granters(testService) {
			if box := d.outbox(g); !box.held[n.ID] {
				box.end(n.ID)
			}
		}
		d.report()
	case r != nil && r.waits:
		d.settle(r, n.State, n.First, n.RetryAfter)
	case r != nil:
		r.noticed = n
	}
}

func (d *simDaemon) forgetWaiter(r *simSend, tell bool) {
	delete(d.waiting, r.id)
	if !tell {
		r.box.forget(r.id)
		return
	}
	r.box.end(r.id)
	d.report()
}

// settle follows the decision of a granting daemon.
func (d *simDaemon) settle(r *simSend, state peermsg.RoomState, first uint32, retryAfter spanrill.Millis) {
	switch {
	case state == peermsg.RoomGranted && d.chain(first) != nil:
		delete(d.waiting, r.id)
		d.start(r, first)
	case state == peermsg.RoomGranted: // of a chain that this daemon does not know
		d.forgetWaiter(r, true)
		r.avoid[first] = true
		d.ask(r)
	case state == peermsg.RoomRefused:
		d.forgetWaiter(r, false)
		d.refuse(r, retryAfter, maxSpreadRetry)
	default:
		d.forgetWaiter(r, true)
		r.asked++
		d.ask(r)
	}
}
