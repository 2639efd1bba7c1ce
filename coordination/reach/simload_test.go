package reach

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"

	"spanrill"
	"spanrill/task"
)

// simResult counts first attempts.
type simResult struct {
	sent, served, noPath, full int
	slowestRefusal             spanrill.Millis
}

func (r *simResult) add(o simResult) {
	r.sent, r.served, r.noPath, r.full = r.sent+o.sent, r.served+o.served, r.noPath+o.noPath, r.full+o.full
	r.slowestRefusal = max(r.slowestRefusal, o.slowestRefusal)
}

func (r simResult) share() float64 { return float64(r.served) / float64(max(1, r.sent)) }

// send sends requests to all running daemons for a time, each daemon getting them at intervals that
// vary, and returns the results by daemon once all requests have ended.
func (f *simFleet) send(duration, interval spanrill.Millis) map[*simDaemon]simResult {
	f.mu.Lock()
	daemons := slices.DeleteFunc(slices.Clone(f.daemons), func(d *simDaemon) bool { return d.down })
	f.mu.Unlock()
	end := f.clock.Now() + duration
	var mu sync.Mutex
	results := map[*simDaemon]simResult{}
	var calls task.Group
	for _, d := range daemons {
		calls.Start(f.ctx, "callers", func(ctx context.Context) error {
			var requests task.Group
			for {
				if f.wait(ctx, spanrill.Millis(d.random.IntN(int(2*interval)))) != nil || f.clock.Now() >= end {
					return requests.Wait()
				}
				requests.Start(ctx, "request", func(ctx context.Context) error {
					result := d.request(ctx)
					mu.Lock()
					defer mu.Unlock()
					total := results[d]
					total.add(result)
					results[d] = total
					return nil
				})
			}
		})
	}
	_ = calls.Wait()
	return results
}

// request makes a request at a random upstream, and at others if that fails as relays do.
func (d *simDaemon) request(ctx context.Context) simResult {
	service := simServices[d.random.IntN(len(simServices))]
	d.mu.Lock()
	d.requests++
	id, frozen := fmt.Sprint("r", d.requests), d.down || d.frozen
	d.mu.Unlock()
	if frozen {
		return simResult{}
	}
	ctx, cancel := context.WithTimeout(WithRequest(ctx, id), simRequestTime.Duration())
	defer cancel()
	began := d.clock.Now()
	var err error
	for range simMaxTries {
		var conn net.Conn
		conn, err = d.dialer.DialContext(ctx, "tcp", fmt.Sprint(service, d.random.IntN(simUpstreams)))
		if err == nil {
			_ = d.wait(ctx, d.callTime)
			_ = conn.Close()
			return simResult{sent: 1, served: 1}
		}
		if errors.Is(err, spanrill.ErrNoPath) || ctx.Err() != nil {
			break
		}
	}
	result := simResult{sent: 1, slowestRefusal: d.clock.Now() - began}
	switch {
	case errors.Is(err, spanrill.ErrHelpersFull):
		result.full = 1
	case errors.Is(err, spanrill.ErrNoPath):
		result.noPath = 1
	}
	return result
}

// sumOf adds the results of daemons.
func sumOf(results map[*simDaemon]simResult, daemons []*simDaemon) (sum simResult) {
	for _, d := range daemons {
		sum.add(results[d])
	}
	return sum
}

// picked returns a share of the daemons at random, and the others.
func (f *simFleet) picked(share float64) (some, others []*simDaemon) {
	all := slices.Clone(f.daemons)
	for i := range all {
		j := i + f.random.IntN(len(all)-i)
		all[i], all[j] = all[j], all[i]
	}
	n := int(share*float64(len(all)) + 0.5)
	return all[:n], all[n:]
}
