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

// AddressResolver finds out which upstream listens at an address that more than one entry claims.
// It sends one query for each such address, which costs as much as a probe.
type AddressResolver struct {
	identifier spanrill.Identifier
	clock      spanrill.Clock
	log        logrus.FieldLogger
	healthPath func(service string) string // of the health check of a service

	queries   task.Group
	mu        sync.Mutex
	queriedAt map[string]spanrill.Millis // by address
}

// NewAddressResolver returns a resolver. HealthPath returns the path of a service's health check.
func NewAddressResolver(identifier spanrill.Identifier, clock spanrill.Clock, log logrus.FieldLogger, healthPath func(service string) string) *AddressResolver {
	return &AddressResolver{identifier: identifier, clock: clock, log: log, healthPath: healthPath, queriedAt: map[string]spanrill.Millis{}}
}

// Resolve queries the addresses of claims that the table cannot decide, each one at intervals
// until it answers. It does not wait for the answers, which go to the table. It is called a few
// times a second.
func (r *AddressResolver) Resolve(ctx context.Context, table *fleet.Table) {
	claims := table.AddressConflicts()
	r.forget(claims)
	for _, c := range claims {
		healthPath := r.healthPath(c.Service)
		if healthPath == "" || !r.markIfDue(c.Addr, r.queryInterval(table, c.Addr)) {
			continue
		}
		r.queries.Start(ctx, "identify upstream", func(ctx context.Context) error { return r.identify(ctx, table, c, healthPath) })
	}
}

// Wait waits until all queries have ended.
func (r *AddressResolver) Wait() { _ = r.queries.Wait() } // errors are logged where they occur

func (r *AddressResolver) identify(ctx context.Context, table *fleet.Table, c fleet.AddressConflict, healthPath string) error {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout.Duration())
	defer cancel()
	name, err := r.identifier.Identify(ctx, c.Addr, healthPath)
	if err != nil {
		events.AddressConflictUnanswered.Log(r.log, logrus.Fields{"upstream": c.Name, "addr": c.Addr, "error": err})
		return err
	}
	table.ResolveAddress(c.Addr, name)
	return nil
}

// identifyTimeout bounds a query. A query waits for a slot at the upstream, as a request does.
const identifyTimeout = 2 * recheckInterval / 3

// restingInterval is the time between two queries to an upstream that rests: each takes a slot
// there, as a request does, and a rest of 3 s contains two of them. The upstream is queried
// nevertheless, because nothing else tells that another upstream listens there by now.
const restingInterval = 2 * spanrill.Second

// queryInterval returns the least time between two queries to an address.
func (r *AddressResolver) queryInterval(table *fleet.Table, addr string) spanrill.Millis {
	if u := table.View().ByAddr(addr); u != nil && u.Resting(r.clock.Now()) {
		return restingInterval
	}
	return recheckInterval
}

// markIfDue reports whether an address may be queried now, and records the query if so.
func (r *AddressResolver) markIfDue(addr string, interval spanrill.Millis) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if at, queried := r.queriedAt[addr]; queried && now-at < interval {
		return false
	}
	r.queriedAt[addr] = now
	return true
}

// forget drops addresses that are no longer claimed.
func (r *AddressResolver) forget(claims []fleet.AddressConflict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	claimed := make(map[string]bool, len(claims))
	for _, c := range claims {
		claimed[c.Addr] = true
	}
	for addr := range r.queriedAt {
		if !claimed[addr] {
			delete(r.queriedAt, addr)
		}
	}
}
