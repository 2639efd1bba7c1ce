package granting

import (
	"context"

	"spanrill"
	"spanrill/protocol/peermsg"
)

// reportPoll is how often the client looks for reports that have become due.
const reportPoll = freedInterval

// Run sends reports to the granting daemons until the context ends. It also looks after the requests
// that wait.
func (c *Client) Run(ctx context.Context) error {
	defer close(c.done)
	poll := c.clock.After(reportPoll)
	for {
		select {
		case <-ctx.Done():
			c.sendReports(true) // running requests may have ended with the context
			return nil
		case <-c.wake:
		case <-poll:
			poll = c.clock.After(reportPoll)
		}
		c.observeFleet(c.clock.Now(), fleetInterval)
		c.leaveSilentGranters()
		c.sendReports(false)
	}
}

// wakeReports makes Run look for reports now.
func (c *Client) wakeReports() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// sendReports sends the reports that are due, or all that tell something.
func (c *Client) sendReports(isLast bool) {
	now := c.clock.Now()
	for _, service := range c.servicesWithNews(now, isLast) {
		granters := c.granters(service)
		firsts := c.chainView(service, chainsMaxAge).firsts
		for _, d := range c.takeReports(now, service, granters, firsts, isLast) {
			c.deliver(d)
		}
	}
}

// outgoingReport is a report with its receiver.
type outgoingReport struct {
	box     *outbox
	granter peermsg.Member
	report  *peermsg.RoomReport
}

// servicesWithNews returns the services for which a report is due.
func (c *Client) servicesWithNews(now spanrill.Millis, isLast bool) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.contacts.prune(now)
	var names []string
	for name, s := range c.services {
		for _, o := range s.outboxes {
			if o.isDue(now) || isLast && o.hasNews() {
				names = append(names, name)
				break
			}
		}
	}
	return names
}

// takeReports returns the due reports of a service. It removes granting daemons that have departed.
func (c *Client) takeReports(now spanrill.Millis, service string, granters []peermsg.Member, firsts map[uint32]bool, isLast bool) []outgoingReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[service]
	for _, granter := range granters {
		if o := s.outboxes[granter.Name]; o != nil {
			o.granter, o.listedAt = granter, now
		}
	}
	current := c.currentGranter(granters)
	var due []outgoingReport
	for name, o := range s.outboxes {
		if o.isDeparted(now) {
			delete(s.outboxes, name)
			continue
		}
		if !o.isDue(now) && !(isLast && o.hasNews()) {
			continue
		}
		report := o.take(now)
		report.Daemon, report.Service = c.name, service
		if name == current {
			report.Loads = c.loads.take(now, firsts)
		}
		due = append(due, outgoingReport{o, o.granter, report})
	}
	return due
}

// currentGranter returns the name of the daemon that is asked first now, or "". The caller must hold
// c.mu.
func (c *Client) currentGranter(granters []peermsg.Member) string {
	for _, granter := range granters {
		if !c.isPassedOver(granter) {
			return granter.Name
		}
	}
	return ""
}

// isPassedOver reports whether a granting daemon did not answer lately. The caller must hold c.mu.
func (c *Client) isPassedOver(granter peermsg.Member) bool {
	k := c.contacts[granter.Name]
	return granter.PeerAddr != "" && k != nil && (k.isSilent || c.clock.Now() < k.passUntil)
}

// deliver sends a report. What cannot be sent is told with the next one.
func (c *Client) deliver(d outgoingReport) {
	c.counts.reports.Add(1)
	if d.granter.PeerAddr == "" {
		c.local.HandleReport(d.report)
		c.removeIdle(d)
		return
	}
	err := c.peers.Send(d.granter.PeerAddr, uint8(peermsg.KindRoomReport), d.report)
	if err == nil {
		c.removeIdle(d)
		return
	}
	c.log.WithError(err).WithField("peer", d.granter.Name).Debug("cannot send a report of requests to the granting daemon")
	c.mu.Lock()
	defer c.mu.Unlock()
	d.box.putBack(d.report)
}

// removeIdle removes a granting daemon of which nothing is held, after it was told so.
func (c *Client) removeIdle(d outgoingReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	outboxes := c.services[d.report.Service].outboxes
	if d.report.Complete && d.box.isIdle() && outboxes[d.granter.Name] == d.box {
		delete(outboxes, d.granter.Name)
	}
}
