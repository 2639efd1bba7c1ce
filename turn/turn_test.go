package turn

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
)

// Guards against work that waits at each of its steps until all requests that are ready have run.
func TestOtherWorkWaitsForOneBatch(t *testing.T) {
	const requests, steps = 5000, 20
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	longestWait := func(g *Gate) int64 {
		var passed atomic.Int64
		var all sync.WaitGroup
		begin := make(chan struct{})
		for range requests {
			all.Go(func() {
				<-begin
				for range 3 {
					g.Pass()
					passed.Add(1)
					runtime.Gosched()
				}
			})
		}
		runtime.Gosched()
		var longest int64
		done := make(chan struct{})
		go func() {
			defer close(done)
			ping, pong := make(chan struct{}), make(chan struct{})
			go func() {
				for range ping {
					runtime.Gosched() // as if woken by the network, behind all that are ready
					pong <- struct{}{}
				}
			}()
			for range steps {
				before := passed.Load()
				ping <- struct{}{}
				<-pong
				longest = max(longest, passed.Load()-before)
			}
			close(ping)
		}()
		close(begin)
		<-done
		all.Wait()
		return longest
	}
	ctx, cancel := context.WithCancel(t.Context())
	g := New()
	go func() { _ = g.Run(ctx) }()
	for {
		g.mu.Lock()
		running := !g.open
		g.mu.Unlock()
		if running {
			break
		}
		runtime.Gosched()
	}
	with := longestWait(g)
	cancel()
	<-g.Done()
	without := longestWait(New())
	t.Logf("a step waits until %d requests have passed, and %d without turns", with, without)
	if with > 4*batchSize || without < requests/2 {
		t.Errorf("a step waits until %d requests have passed, want a few batches of %d; %d without turns, want most of %d", with, batchSize, without, requests)
	}
}

// Everyone passes in the order of arrival, also those that wait when Run ends.
func TestNobodyIsLeftWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var order []int
		hold := make(chan struct{})
		g := New(WithYield(func() { <-hold }))
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = g.Run(ctx) }()
		synctest.Wait()
		const all = 3*batchSize + 5
		for i := range all {
			go func() {
				g.Pass()
				mu.Lock()
				defer mu.Unlock()
				order = append(order, i)
			}()
			synctest.Wait()
		}
		for _, want := range []int{batchSize, 2 * batchSize} {
			if len(order) != want || g.Waiting() != all-want {
				t.Fatalf("%d have passed and %d wait, want %d and %d", len(order), g.Waiting(), want, all-want)
			}
			hold <- struct{}{}
			synctest.Wait()
		}
		cancel()
		close(hold)
		<-g.Done()
		synctest.Wait()
		if len(order) != all || g.Waiting() != 0 {
			t.Fatalf("%d have passed and %d wait after the end, want all %d", len(order), g.Waiting(), all)
		}
		for i, n := range order[:3*batchSize] {
			if i/batchSize != n/batchSize {
				t.Errorf("number %d passed as %d", n, i)
			}
		}
	})
}
