package probe

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
	"spanrill/state/fleet"
	"spanrill/task"
)

// Names finds out who listens at an address that more than one entry names. Each question
// is paid for as a probe, and there is one for each such address in calm.
type Names struct {
	identifier spanrill.Identifier
	clock      spanrill.Clock
	log        logrus.FieldLogger
	path       func(service string) string // of the health check

	asks    task.Group
	mu      sync.Mutex
	askedAt map[string]spanrill.Millis // by address
}

// NewNames returns a finder. Path returns the path of a service's health check.
func NewNames(identifier spanrill.Identifier, clock spanrill.Clock, log logrus.FieldLogger, path func(service string) string) *Names {
	return &Names{identifier: identifier, clock: clock, log: log, path: path, askedAt: map[string]spanrill.Millis{}}
}

// Ask asks about the claims that the table cannot decide, each address now and then until
// it answers. It does not wait for the answers, which the table takes. It is called a few
// times a second.
func (n *Names) Ask(ctx context.Context, table *fleet.Table) {
	claims := table.Claims()
	n.forget(claims)
	for _, c := range claims {
		path := n.path(c.Service)
		if path == "" || !n.due(c.Addr, n.pause(table, c.Addr)) {
			continue
		}
		n.asks.Start(ctx, "ask who listens", func(ctx context.Context) error { return n.ask(ctx, table, c, path) })
	}
}

// Wait returns when all questions have ended.
func (n *Names) Wait() { _ = n.asks.Wait() } // their errors are logged where they happen

func (n *Names) ask(ctx context.Context, table *fleet.Table, c fleet.Claim, path string) error {
	ctx, cancel := context.WithTimeout(ctx, nameWait.Duration())
	defer cancel()
	name, err := n.identifier.Identify(ctx, c.Addr, path)
	if err != nil {
		events.AddressSilent.Log(n.log, logrus.Fields{"upstream": c.Name, "addr": c.Addr, "error": err})
		return err
	}
	table.Identified(c.Addr, name)
	return nil
}

// nameWait bounds a question. It waits for a place at the upstream, as a request does.
const nameWait = 2 * againAfter / 3

// restsAgain is the pause between two questions to an upstream that has asked for rest: a
// question takes a place there as a request does. Of a rest of 3 s two fall into it. It is
// asked all the same, since nothing else tells that another upstream listens there by now.
const restsAgain = 2 * spanrill.Second

// pause is how long after a question the next one may follow.
func (n *Names) pause(table *fleet.Table, addr string) spanrill.Millis {
	if u := table.View().ByAddr(addr); u != nil && u.Rests(n.clock.Now()) {
		return restsAgain
	}
	return againAfter
}

func (n *Names) due(addr string, pause spanrill.Millis) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	if at, asked := n.askedAt[addr]; asked && now-at < pause {
		return false
	}
	n.askedAt[addr] = now
	return true
}

// forget forgets addresses that are claimed no more.
func (n *Names) forget(claims []fleet.Claim) {
	n.mu.Lock()
	defer n.mu.Unlock()
	open := make(map[string]bool, len(claims))
	for _, c := range claims {
		open[c.Addr] = true
	}
	for addr := range n.askedAt {
		if !open[addr] {
			delete(n.askedAt, addr)
		}
	}
}
