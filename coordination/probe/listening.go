package probe

import (
	"context"
	"net"

	"spanrill"
	"spanrill/state/fleet"
)

// dialCheck is a connection attempt. Its result is recorded when done is closed.
type dialCheck struct {
	done      chan struct{}
	startedAt spanrill.Millis
}

// CheckListening opens a connection to an upstream and records whether anything listens at its
// address. It does not check that the upstream works: a silent one is not taken for dead.
// Concurrent calls for the same upstream share one connection, and its result is reused for a while.
func (p *Prober) CheckListening(ctx context.Context, u *fleet.Upstream) {
	p.CheckListeningSince(ctx, u, p.clock.Now()-resultLifetime)
}

// CheckListeningSince is like CheckListening, but reuses only a result that was begun after a time.
func (p *Prober) CheckListeningSince(ctx context.Context, u *fleet.Upstream, since spanrill.Millis) {
	check, isNew := p.dialCheckFor(u.ID(), since)
	if isNew {
		p.dialAndRecord(ctx, u)
		close(check.done)
		return
	}
	select {
	case <-check.done:
	case <-ctx.Done():
	}
}

// dialCheckFor returns the check of an upstream that was begun after a time, or a new one.
func (p *Prober) dialCheckFor(id string, since spanrill.Millis) (check *dialCheck, isNew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if check = p.dialChecks[id]; check != nil && check.startedAt > since {
		return check, false
	}
	check = &dialCheck{done: make(chan struct{}), startedAt: now}
	p.dialChecks[id] = check
	return check, true
}

func (p *Prober) dialAndRecord(ctx context.Context, u *fleet.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout.Duration())
	defer cancel()
	err := p.dial(ctx, u.Addr())
	switch {
	case err == nil:
		u.RecordListening(p.clock.Now())
	case spanrill.IsConnectionRefused(err):
		u.RecordNotListening()
	}
}

// dialAndClose opens a connection and closes it.
func dialAndClose(ctx context.Context, addr string) error {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	return conn.Close()
}
