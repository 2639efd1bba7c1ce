package granting

import (
	"spanrill"
	"spanrill/protocol/peermsg"
)

const (
	// aheadLapse is how long a daemon may use a grant given ahead of need, and aheadReturn when its
	// room is taken back unless its use has been reported. Between them a report that was sent in
	// time arrives.
	aheadLapse  = spanrill.Second
	aheadReturn = aheadLapse + 250
	// aheadTime is the time for whose starts a daemon is given grants ahead of need.
	aheadTime = spanrill.Second / 2
	// maxAhead bounds the unused grants of a daemon.
	maxAhead = 4
	// aheadMaxFill is the mean fill of the chains up to which grants are given ahead of need. Above
	// it the room of unused grants is needed by requests of other daemons.
	aheadMaxFill = 0.7
)

// grantAhead gives a daemon grants for the requests that it is about to start.
func (r *Room) grantAhead(now spanrill.Millis, c *claim) []peermsg.RoomAhead {
	if !r.ahead || r.Waiting() > 0 || r.allowance.at(now) < 1 {
		return nil
	}
	expected := c.asker.starts.value(now) * aheadTime.Duration().Seconds()
	var grants []peermsg.RoomAhead
	for c.asker.aheads < min(maxAhead, int(expected)) && r.mayGiveAhead(now) {
		given, ok := r.giveAhead(now, c)
		if !ok {
			break
		}
		grants = append(grants, peermsg.RoomAhead{ID: given.handle, First: given.first, Lapse: aheadLapse})
	}
	return grants
}

// mayGiveAhead reports whether there is so much room that requests of other daemons will not need
// that of an unused grant.
func (r *Room) mayGiveAhead(now spanrill.Millis) bool {
	return len(r.claims) < maxClaims && r.fill.value(now, r.ledger) < aheadMaxFill
}

// fillAge is the age from which the mean fill of the chains is read again. At a thousand requests
// a second each tenth one reads it.
const fillAge spanrill.Millis = 10

// recentFill is the mean fill of the chains as of a recent time.
type recentFill struct {
	mean  float64
	at    spanrill.Millis
	known bool
}

func (f *recentFill) value(now spanrill.Millis, ledger spanrill.RoomLedger) float64 {
	if !f.known || now-f.at >= fillAge {
		*f = recentFill{mean: meanFill(ledger.Chains(now)), at: now, known: true}
	}
	return f.mean
}

// meanFill returns the mean fill of chains, or 1 if there are none.
func meanFill(chains []spanrill.RoomState) float64 {
	if len(chains) == 0 {
		return 1
	}
	var sum float64
	for _, c := range chains {
		sum += c.Fill
	}
	return sum / float64(len(chains))
}

// giveAhead gives room for a request of mean size that is otherwise like the one of a claim.
func (r *Room) giveAhead(now spanrill.Millis, like *claim) (*claim, bool) {
	c := &claim{handle: r.nextHandle(), asker: like.asker, state: claimAhead, need: like.need, since: now}
	c.need.Prompt, c.need.Answer = r.sizes.tokens()
	c.need.Avoid = nil
	first, ok := r.ledger.Give(now, c.handle, c.need)
	if !ok {
		return nil, false
	}
	c.first = first
	c.asker.aheads++
	r.claims[c.handle] = c
	r.aheads = append(r.aheads, c)
	r.counts.Ahead++
	return c, true
}

// use makes a grant given ahead of need the claim of a request. It does nothing if the grant has
// lapsed or is not the daemon's.
func (r *Room) use(now spanrill.Millis, a *asker, u peermsg.RoomUsed) {
	c := r.claims[u.Ahead]
	if c == nil || c.state != claimAhead || c.asker != a {
		return
	}
	if a.claims[u.ID] != nil {
		r.cancel(now, c) // the request has room already
		return
	}
	a.aheads--
	c.id, c.since = u.ID, now
	c.need.Class = classOf(u.Class)
	c.need.Prompt, c.need.Answer = clampTokens(u.Prompt), clampTokens(u.Answer)
	c.entry = spanrill.LineEntry{ID: c.handle, Class: c.need.Class, Account: accountOf(u.Account), LatestStart: now}
	r.keep(c, claimHolding)
	r.ledger.Resize(now, c.handle, c.need)
	r.line.Start(now, c.entry)
	r.returns.RecordStart(now, c.need.Class)
	r.counts.Given[c.need.Class]++
	r.sizes.record(c.need)
	a.starts.record(now)
}

// lapseAhead takes back grants given ahead of need that were not used.
func (r *Room) lapseAhead(now spanrill.Millis) {
	for len(r.aheads) > 0 {
		c := r.aheads[0]
		if c.state == claimAhead {
			if now < c.since+aheadReturn {
				return
			}
			r.cancel(now, c)
			r.counts.AheadLapsed++
		}
		r.aheads[0] = nil
		r.aheads = r.aheads[1:]
	}
}

// meanSizeWeight is the weight of one more request in the mean size of requests.
const meanSizeWeight = 1.0 / 64

// meanSize is the decaying mean size of the requests of a service, in tokens.
type meanSize struct {
	prompt, answer float64
	known          bool
}

func (m *meanSize) record(need spanrill.RoomNeed) {
	prompt, answer := float64(need.Prompt), float64(need.Answer)
	if !m.known {
		m.prompt, m.answer, m.known = prompt, answer, true
		return
	}
	m.prompt += (prompt - m.prompt) * meanSizeWeight
	m.answer += (answer - m.answer) * meanSizeWeight
}

func (m *meanSize) tokens() (prompt, answer int) { return int(m.prompt), int(m.answer) }
