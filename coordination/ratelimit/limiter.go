// Package ratelimit keeps the combined request rate of all daemons within the limit that an
// upstream sends in its answers.
//
// For each upstream with a limit, one daemon holds a token bucket and grants permits. The other
// daemons ask it for a permit immediately before they send a request to the upstream. A denial
// carries the time of the next attempt, and until then the denied daemon uses other upstreams. If
// the granting daemon does not answer, the next one is asked as a standby. The standby grants
// a fraction of the limit, or all of it if the granting daemon did not answer the standby either.
// Each request for a permit and each answer carries the sender's latest value of the limit.
//
//	limiter.go  permits for requests of this daemon and of other daemons
//	news.go     exchange of limits between daemons
//	bucket.go   token buckets
//
// # Usage
//
//	l := ratelimit.New(table, clock, peers)
//	err := l.Permit(ctx, u) // nil, or fleet.ErrLimited
package ratelimit

import (
	"context"
	"sync/atomic"

	"spanrill"
	"spanrill/protocol/peermsg"
	"spanrill/state/fleet"
)

// Peers finds and calls the daemons that grant permits.
type Peers interface {
	// Granters returns the daemons that grant permits for an upstream, in order of preference.
	// This daemon is returned without an address.
	Granters(upstream uint32) []peermsg.Member
	// Unresponsive reports whether a daemon did not answer when this daemon last asked it for news.
	Unresponsive(daemon string) bool
	// RequestPermit asks a daemon for a permit.
	RequestPermit(ctx context.Context, addr string, req *peermsg.PermitRequest) (*peermsg.Permit, error)
}

// Limiter obtains permits for requests of this daemon, and grants permits to other daemons.
type Limiter struct {
	table   *fleet.Table
	clock   spanrill.Clock
	peers   Peers
	buckets *Buckets

	granted, denied atomic.Uint64 // permits for requests of this daemon
}

// New returns a limiter.
func New(table *fleet.Table, clock spanrill.Clock, peers Peers) *Limiter {
	return &Limiter{table: table, clock: clock, peers: peers, buckets: NewBuckets(clock)}
}

const (
	// requestTimeout is the timeout for asking a daemon for a permit: many times the round trip
	// between availability zones.
	requestTimeout spanrill.Millis = 50
	// noAnswerRetryAfter is how long requests to an upstream are deferred if no daemon answers.
	noAnswerRetryAfter spanrill.Millis = 100
)

// Permit returns nil if the limit of an upstream allows a request now, and fleet.ErrLimited
// otherwise. Each granted permit counts as a request, even if it is not used.
func (l *Limiter) Permit(ctx context.Context, u *fleet.Upstream) error {
	if !u.Limit().Set {
		return nil
	}
	permit := l.requestPermit(ctx, u)
	if permit.Granted {
		l.granted.Add(1)
		return nil
	}
	l.denied.Add(1)
	u.DeferRequests(l.clock.Now(), permit.RetryAfter)
	return fleet.ErrLimited
}

// Granted returns the number of permits granted to requests of this daemon.
func (l *Limiter) Granted() uint64 { return l.granted.Load() }

// Denied returns the number of permits denied to requests of this daemon.
func (l *Limiter) Denied() uint64 { return l.denied.Load() }

// requestPermit asks the granting daemons in order until one answers.
func (l *Limiter) requestPermit(ctx context.Context, u *fleet.Upstream) *peermsg.Permit {
	req := &peermsg.PermitRequest{Limit: limitMessage(l.table.LimitOf(u), l.clock.Now())}
	for i, m := range l.peers.Granters(u.Key()) {
		req.Standby = i > 0
		if m.PeerAddr == "" {
			return l.HandlePermitRequest(req)
		}
		if permit, err := l.requestFrom(ctx, m.PeerAddr, req); err == nil {
			return permit
		}
	}
	return &peermsg.Permit{RetryAfter: noAnswerRetryAfter}
}

func (l *Limiter) requestFrom(ctx context.Context, addr string, req *peermsg.PermitRequest) (*peermsg.Permit, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout.Duration())
	defer cancel()
	sentAt := l.clock.Now()
	permit, err := l.peers.RequestPermit(ctx, addr, req)
	if err != nil {
		return nil, err
	}
	if permit.Limit.Upstream == req.Limit.Upstream {
		MergeLimits(l.table, []peermsg.UpstreamLimit{permit.Limit}, sentAt)
	}
	permit.RetryAfter = min(max(1, permit.RetryAfter), maxRetryAfter)
	return permit, nil
}

// HandlePermitRequest grants or denies a permit to a daemon.
func (l *Limiter) HandlePermitRequest(req *peermsg.PermitRequest) *peermsg.Permit {
	MergeLimits(l.table, []peermsg.UpstreamLimit{req.Limit}, l.clock.Now())
	known := req.Limit
	if u := l.table.View().ByKey(req.Limit.Upstream); u != nil {
		known = limitMessage(l.table.LimitOf(u), l.clock.Now())
	}
	if !known.Set {
		return &peermsg.Permit{Granted: true, Limit: known}
	}
	wait, ok := l.buckets.Take(known.Upstream, known.PerSecond, req.Standby && l.isStandby(known.Upstream))
	return &peermsg.Permit{Granted: ok, RetryAfter: wait, Limit: known}
}

// isStandby reports whether another daemon is preferred for granting permits for an upstream and
// is not known to be unresponsive.
func (l *Limiter) isStandby(upstream uint32) bool {
	granters := l.peers.Granters(upstream)
	return len(granters) > 0 && granters[0].PeerAddr != "" && !l.peers.Unresponsive(granters[0].Name)
}
