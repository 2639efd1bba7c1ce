package granting

import (
	"spanrill"
	"spanrill/protocol/peermsg"
)

const (
	// maxAheadAge is the longest time until a grant given ahead lapses.
	maxAheadAge = spanrill.Second
	// aheadMargin is how long before its lapse a grant given ahead is used last. Its use is told with
	// the next report, and has to arrive before the lapse.
	aheadMargin = reportInterval + noticeMargin
	// maxAheadKept is the maximum number of grants given ahead for a service.
	maxAheadKept = 64
)

// aheadGrant is a grant that was given ahead of need.
type aheadGrant struct {
	id      uint64 // unique at the granting daemon
	first   uint32
	useBy   spanrill.Millis
	granter peermsg.Member
}

// addAhead adds the grants of a reply. Their lapse counts from the request, which was before the
// making of the reply.
func (c *Client) addAhead(service string, granter peermsg.Member, sentAt spanrill.Millis, grants []peermsg.RoomAhead) {
	if len(grants) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(service)
	for _, g := range grants {
		if g.First == 0 || g.Lapse <= aheadMargin || len(s.ahead) >= maxAheadKept || hasAhead(s.ahead, granter.Name, g.ID) {
			continue
		}
		useBy := sentAt + min(g.Lapse, maxAheadAge) - aheadMargin
		s.ahead = append(s.ahead, aheadGrant{g.ID, g.First, useBy, granter})
	}
}

func hasAhead(grants []aheadGrant, granter string, id uint64) bool {
	for _, g := range grants {
		if g.granter.Name == granter && g.id == id {
			return true
		}
	}
	return false
}

// takeAhead returns a grant given ahead, or nil if there is none for a chain that this daemon knows and
// the request may use.
func (c *Client) takeAhead(now spanrill.Millis, r *spanrill.RoomRequest) *clientGrant {
	avoid := c.avoidSet(now, r)
	chains := c.chainsWith(r.Service, avoid)
	view := c.chainView(r.Service, chainsMaxAge)
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(r.Service)
	var taken aheadGrant
	s.ahead, taken = pickAhead(s.ahead, now, func(first uint32) bool {
		return !avoid[first] && !chains[first] && (view.firsts[first] || !view.known)
	})
	if taken.first == 0 {
		return nil
	}
	id := c.lastID.Add(1)
	box := c.outbox(s, taken.granter)
	box.use(usedMessage(taken.id, id, r))
	for _, engine := range r.RefusedBy {
		box.refuse(engine)
	}
	c.wakeReports()
	return c.newGrant(s, id, box, taken.first, sizeOf(r))
}

// pickAhead removes the usable grant that lapses first, and those that have lapsed. It returns the
// rest.
func pickAhead(grants []aheadGrant, now spanrill.Millis, isUsable func(first uint32) bool) (rest []aheadGrant, picked aheadGrant) {
	rest = grants[:0]
	for _, g := range grants {
		if g.useBy >= now {
			rest = append(rest, g)
		}
	}
	best := -1
	for i, g := range rest {
		if isUsable(g.first) && (best < 0 || g.useBy < rest[best].useBy) {
			best = i
		}
	}
	if best < 0 {
		return rest, aheadGrant{}
	}
	picked = rest[best]
	return append(rest[:best], rest[best+1:]...), picked
}

func usedMessage(ahead, id uint64, r *spanrill.RoomRequest) peermsg.RoomUsed {
	return peermsg.RoomUsed{
		Ahead: ahead, ID: id, Class: int(r.Need.Class), Account: r.Account,
		Prompt: max(0, r.Need.Prompt), Answer: max(0, r.Need.Answer),
	}
}
