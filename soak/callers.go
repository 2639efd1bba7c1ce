package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"spanrill/platform/platformtest"
	"spanrill/rng"
)

// callRecord is one request and the reply that its caller received.
type callRecord struct {
	id     string
	path   string
	daemon *process
	key    string
	sent   time.Time
	body   string
	reply  platformtest.Reply
}

// records collects the requests of all callers.
type records struct {
	mu  sync.Mutex
	all []callRecord
}

func (r *records) add(call callRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, call)
}

// list returns the requests recorded so far.
func (r *records) list() []callRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]callRecord(nil), r.all...)
}

const (
	// callDeadline is the deadline that callers announce in their requests, and callLimit the time
	// after which they give up.
	callDeadline = 5 * time.Second
	callLimit    = 12 * time.Second
	// callPause is the pause between two requests of a caller.
	callPause = 25 * time.Millisecond
	// requestsPerConnection is the number of requests that a caller sends on one connection before it
	// chooses a daemon anew, unless the connection fails. The caller also keeps using the connection
	// while the daemon shuts down.
	requestsPerConnection = 40
)

var requestPaths = []string{platformtest.StreamPath, platformtest.StreamPath, platformtest.OncePath, platformtest.SafePath}

// runCaller runs the caller with number n, which sends requests until the context ends.
func (r *run) runCaller(ctx context.Context, n int) error {
	random := rng.New(r.options.Seed<<16 + uint64(n))
	caller := platformtest.NewCaller()
	defer caller.Close()
	daemon, remaining := r.chooseDaemon(random)
	for i := 0; ctx.Err() == nil; i++ {
		call := callRecord{
			id: fmt.Sprintf("c%d-%d", n, i), path: requestPaths[random.IntN(len(requestPaths))], daemon: daemon,
			key: r.env.key(random.IntN(activeKeys)), sent: time.Now(),
		}
		call.body = "asked by " + call.id
		caller.SetParts(fmt.Sprintf("%s:40,%x:200", sharedPart, n))
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callLimit)
		call.reply = caller.Call(callCtx, daemon.listenAddr, call.path, call.id, call.key, call.body, callDeadline)
		cancel()
		r.records.add(call)
		if remaining = min(remaining, r.maxRequestsPerConnection()) - 1; remaining == 0 || call.reply.Status == 0 {
			caller.Close()
			daemon, remaining = r.chooseDaemon(random)
		}
		wait(ctx, callPause)
	}
	return nil
}

// runWithdrawnKeyCaller sends requests with keys that were withdrawn more than revokeTime ago.
func (r *run) runWithdrawnKeyCaller(ctx context.Context) error {
	caller := platformtest.NewCaller()
	defer caller.Close()
	random := rng.New(r.options.Seed)
	for i := 0; ctx.Err() == nil; i++ {
		if key := r.env.longWithdrawnKey(); key != "" {
			p := r.daemons[random.IntN(len(r.daemons))]
			call := callRecord{id: fmt.Sprintf("withdrawn-%d", i), path: platformtest.OncePath, daemon: p, key: key, sent: time.Now(), body: "withdrawn"}
			callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callLimit)
			call.reply = caller.Call(callCtx, p.listenAddr, call.path, call.id, call.key, call.body, callDeadline)
			cancel()
			r.withdrawnKeyRecords.add(call)
		}
		wait(ctx, 4*callPause)
	}
	return nil
}

// longWithdrawnKey returns the latest of the keys that were withdrawn more than revokeTime ago, or ""
// if there is none. No request with such a key may run.
func (env *environment) longWithdrawnKey() string {
	env.mu.Lock()
	defer env.mu.Unlock()
	for i := len(env.withdrawn) - 1; i >= 0; i-- {
		if time.Since(env.withdrawn[i].at) > revokeTime {
			return env.withdrawn[i].key
		}
	}
	return ""
}
