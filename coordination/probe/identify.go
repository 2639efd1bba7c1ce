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
// It queries each such address; a query costs as much as a probe.
type AddressResolver struct {
	identifier spanrill.Identifier
	clock      spanrill.Clock
	log        logrus.FieldLogger
	healthPath func(service string) string // path of a service's health check, or "" if it has none

	queries   task.Group
	mu        sync.Mutex
	queriedAt map[string]spanrill.Millis // by address
}

// NewAddressResolver returns a resolver. HealthPath returns the path of a service's health check, or
// "" if it has none; the addresses of such a service are not queried.
func NewAddressResolver(identifier spanrill.Identifier, clock spanrill.Clock, log logrus.FieldLogger, healthPath func(service string) string) *AddressResolver {
	return &AddressResolver{identifier: identifier, clock: clock, log: log, healthPath: healthPath, queriedAt: map[string]spanrill.Millis{}}
}

// Resolve queries the addresses with unresolved conflicts in the table, each one at intervals until
// it answers. It does not wait for the answers, which go to the table. It should be called a few
// times a second.
func (r *AddressResolver) Resolve(ctx context.Context, table *fleet.Table) {
	conflicts := table.AddressConflicts()
	r.forget(conflicts)
	for _, c := range conflicts {
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

// identifyTimeout bounds a query, including its wait for a slot at the upstream.
const identifyTimeout = 2 * recheckInterval / 3

// restingInterval is the least time between two queries to an upstream that rests. It is longer than
// recheckInterval because each query takes a slot, as a request does; a rest of 3 s contains two
// queries. The upstream is queried nevertheless, because nothing else shows that another upstream
// now listens at its address.
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
	if last, queried := r.queriedAt[addr]; queried && now-last < interval {
		return false
	}
	r.queriedAt[addr] = now
	return true
}

// forget drops the query times of addresses that are no longer in conflict.
func (r *AddressResolver) forget(conflicts []fleet.AddressConflict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	inConflict := make(map[string]bool, len(conflicts))
	for _, c := range conflicts {
		inConflict[c.Addr] = true
	}
	for addr := range r.queriedAt {
		if !inConflict[addr] {
			delete(r.queriedAt, addr)
		}
	}
}
