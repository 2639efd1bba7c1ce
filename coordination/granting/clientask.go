package granting

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"spanrill"
	"spanrill/protocol/peermsg"
)

const (
	// requestTimeout is the timeout for asking a granting daemon: many times the round trip between
	// availability zones.
	requestTimeout spanrill.Millis = 50
	// maxGrantersAsked is how many daemons are asked in order of preference.
	maxGrantersAsked = 2
	// maxAsksPerGranter is how often a request asks the same daemon. It asks again if it was granted
	// a chain that this daemon does not know yet.
	maxAsksPerGranter = 2
	// maxWaitBound bounds how long a request waits, whatever it asks for.
	maxWaitBound = spanrill.Minute
	// maxReplyAge is the age from which a reply is not followed any more: this daemon was stopped, and
	// the granting daemon may have taken the room back, as it does after reportTimeout.
	maxReplyAge = 2 * spanrill.Second
)

var errLateReply = errors.New("ask for room: reply too late")

// verdict is what follows from asking. It is empty if the granting daemon gave no usable answer.
type verdict struct {
	grant   *clientGrant
	refusal *spanrill.Refusal
	// unknownChain is the first engine of a granted chain that this daemon does not know, or 0.
	unknownChain uint32
}

// question is what a request asks one granting daemon.
type question struct {
	request *spanrill.RoomRequest
	granter peermsg.Member
	isAlone bool // no other daemon grants
	standby bool // a preferred daemon was passed over or did not answer
	start   spanrill.Millis
	avoid   []uint32
}

// ask asks the granting daemons in order until one of them decides. The verdict is empty if none
// does.
func (c *Client) ask(ctx context.Context, start spanrill.Millis, r *spanrill.RoomRequest) verdict {
	granters := c.granters(r.Service)
	avoid := avoidList(r.Need.Avoid)
	for i, m := range granters {
		q := question{request: r, granter: m, isAlone: len(granters) == 1, standby: i > 0, start: start, avoid: avoid}
		if v := c.askGranter(ctx, q); v.grant != nil || v.refusal != nil {
			return v
		}
	}
	return verdict{}
}

// granters returns the daemons that are asked for the room of a service, in order of preference.
func (c *Client) granters(service string) []peermsg.Member {
	granters := c.peers.Granters(service)
	return granters[:min(len(granters), maxGrantersAsked)]
}

// avoidList returns the engines to avoid in order.
func avoidList(avoid map[uint32]bool) []uint32 {
	list := slices.Sorted(maps.Keys(avoid))
	return slices.DeleteFunc(list, func(engine uint32) bool { return !avoid[engine] })
}

// askGranter asks one daemon, and again if it grants a chain that this daemon does not know.
func (c *Client) askGranter(ctx context.Context, q question) verdict {
	for range maxAsksPerGranter {
		if !c.beginContact(q.granter, q.isAlone) {
			return verdict{}
		}
		v := c.askOnce(ctx, &q)
		if v.unknownChain == 0 {
			return v
		}
		q.avoid = append(slices.Clone(q.avoid), v.unknownChain)
	}
	return verdict{}
}

// askOnce asks one daemon and waits for its notice if it is told to.
func (c *Client) askOnce(ctx context.Context, q *question) verdict {
	w := c.addWaiter(q)
	sentAt := c.clock.Now()
	reply, err := c.exchange(ctx, q.granter, c.message(q, w.id, sentAt))
	result := resultOf(ctx, reply, err)
	if c.clock.Now()-sentAt > maxReplyAge {
		result, err = contactUnknown, errLateReply
	}
	c.endContact(q.granter, result)
	if err == nil {
		c.addAhead(q.request.Service, q.granter, sentAt, reply.Ahead)
	}
	return c.settle(q, w, c.answerTo(ctx, q, w, reply, err))
}

// exchange sends a message to a daemon, or handles it if this daemon grants the room itself.
func (c *Client) exchange(ctx context.Context, granter peermsg.Member, m *peermsg.RoomRequest) (*peermsg.RoomReply, error) {
	c.counts.asked.Add(1)
	if granter.PeerAddr == "" {
		reply := c.local.HandleRequest(m)
		if reply == nil {
			return nil, errors.New("ask for room: no reply of this daemon")
		}
		return reply, nil
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout.Duration())
	defer cancel()
	var reply peermsg.RoomReply
	if err := c.peers.Request(ctx, granter.PeerAddr, uint8(peermsg.KindRoom), m, &reply); err != nil {
		return nil, fmt.Errorf("ask for room: %w", err)
	}
	return &reply, nil
}

// resultOf returns how a granting daemon answered. No answer to a request that has ended says
// nothing about the daemon.
func resultOf(ctx context.Context, reply *peermsg.RoomReply, err error) contactResult {
	switch {
	case err != nil && ctx.Err() != nil:
		return contactUnknown
	case err != nil:
		return contactSilent
	case reply.State >= peermsg.RoomUnknown:
		return contactNotGranting
	}
	return contactAnswered
}

// message returns the message that asks for room.
func (c *Client) message(q *question, id uint64, now spanrill.Millis) *peermsg.RoomRequest {
	r := q.request
	c.mu.Lock()
	daemons := c.fleet.current
	c.mu.Unlock()
	addr := c.addr
	if q.granter.PeerAddr == "" {
		addr = "" // the notice does not leave this process
	}
	return &peermsg.RoomRequest{
		Daemon: c.name, Addr: addr, ID: id, Service: r.Service,
		Class: int(r.Need.Class), Account: r.Account, Content: r.Content,
		Prompt: max(0, r.Need.Prompt), Answer: max(0, r.Need.Answer),
		Zone: r.Need.Zone, Pause: r.Need.Pause,
		MaxWait: max(0, c.latestStart(q)-now), Remaining: max(0, r.Remaining-(now-q.start)),
		Avoid: q.avoid, RefusedBy: r.RefusedBy, Standby: q.standby, Daemons: daemons,
	}
}

// latestStart returns until when the request can wait.
func (c *Client) latestStart(q *question) spanrill.Millis {
	if !c.queue {
		return q.start
	}
	return q.start + min(max(0, q.request.MaxWait), maxWaitBound)
}

// settle turns the answer for a waiter into a verdict. Room that is not used is given back.
func (c *Client) settle(q *question, w *clientWaiter, a answer) verdict {
	isGranted := a.state == peermsg.RoomGranted && a.first != 0
	if isGranted && !c.knowsChain(q.request.Service, a.first) {
		c.removeWaiter(w, true)
		return verdict{unknownChain: a.first}
	}
	if isGranted {
		return verdict{grant: c.startWaiter(q, w, a.first)}
	}
	isRefused := a.state == peermsg.RoomRefused
	c.removeWaiter(w, !isRefused || a.gaveUp)
	if !isRefused {
		return verdict{}
	}
	c.counts.refused.Add(1)
	return verdict{refusal: c.refuse(q.request, a.retryAfter, "%s", a.reason)}
}
