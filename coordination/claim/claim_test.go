package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"spanrill"
	"spanrill/clock"
	"spanrill/protocol/objectapi"
	"spanrill/rng"
	"spanrill/standin/platform"
	"spanrill/standin/platform/platformtest"
	"spanrill/state/record"
	"spanrill/transport/httpcall"
)

// noPeers implements Owners and Messenger for a daemon that owns all slots and has no peers.
type noPeers struct{}

func (noPeers) Owner(int) string { return "" }

func (noPeers) Request(context.Context, string, uint8, any, any) error { return errors.New("no peers") }

func (noPeers) Send(string, uint8, any) error { return errors.New("no peers") }

func startPlatform(t *testing.T) (*platform.Platform, spanrill.ObjectStore) {
	t.Helper()
	p, addr := platformtest.Start(t)
	return p, objectapi.New(addr, httpcall.New(), objectapi.WithTimeout(300))
}

// newClaims returns the claims of a daemon that considers itself the owner of all slots.
func newClaims(t *testing.T, store spanrill.ObjectStore, seed uint64) *Claims {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	k := NewKeeper(ctx, store, clock.NewSystem(), WithWriteInterval(5))
	t.Cleanup(func() { cancel(); _ = k.Wait() })
	return New(k, noPeers{}, noPeers{}, clock.NewSystem(), rng.New(seed))
}

// counter counts the runs of each key.
type counter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *counter) run(key string) func() (*spanrill.ServiceAnswer, *spanrill.Refusal) {
	return func() (*spanrill.ServiceAnswer, *spanrill.Refusal) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.runs[key]++
		return &spanrill.ServiceAnswer{Status: 200, Body: []byte(key)}, nil
	}
}

func do(c *Claims, key string, run func() (*spanrill.ServiceAnswer, *spanrill.Refusal)) (*spanrill.ServiceAnswer, *spanrill.Refusal) {
	req := &spanrill.ServiceRequest{Method: "POST", Path: "/readings", Body: []byte(key)}
	return c.Do(context.Background(), "account", key, req, run)
}

// Guards against granting a key twice when several daemons consider themselves the owner of a slot,
// as after a network partition.
func TestConcurrentOwnersGrantAKeyOnce(t *testing.T) {
	_, store := startPlatform(t)
	var owners []*Claims
	for i := range 4 {
		owners = append(owners, newClaims(t, store, uint64(i)+1))
	}
	count := &counter{runs: map[string]int{}}
	var wg sync.WaitGroup
	for i := range 60 {
		key := fmt.Sprintf("key-%d", i)
		for _, c := range owners {
			wg.Go(func() {
				answer, refusal := do(c, key, count.run(key))
				if refusal != nil && refusal.Outcome() == spanrill.OutcomeNotRun {
					t.Errorf("%s was refused with outcome not-run: %v", key, refusal)
				}
				if answer != nil && string(answer.Body) != key {
					t.Errorf("%s got the answer of %s", key, answer.Body)
				}
			})
		}
	}
	wg.Wait()
	for key, n := range count.runs {
		if n != 1 {
			t.Errorf("%s ran %d times, want once", key, n)
		}
	}
	if len(count.runs) != 60 {
		t.Errorf("%d keys ran, want 60", len(count.runs))
	}
}

// Guards against a second run of a key, and a wrong outcome not-run, when answers and requests of
// writes are lost and the platform fails every third call.
func TestKeysRunAtMostOnceOnAFailingPlatform(t *testing.T) {
	p, store := startPlatform(t)
	daemons := []*Claims{newClaims(t, store, 1), newClaims(t, store, 2)}
	count := &counter{runs: map[string]int{}}
	for i := range 60 {
		key := fmt.Sprintf("key-%d", i)
		p.SetFaults(platform.Faults{LoseAnswers: i % 3, LoseRequests: i % 2, FailEvery: 3})
		for _, c := range daemons {
			before := count.runs[key]
			_, refusal := do(c, key, count.run(key))
			if refusal != nil && refusal.Outcome() == spanrill.OutcomeNotRun && count.runs[key] != before {
				t.Errorf("%s ran, but the outcome of its call is not-run", key)
			}
		}
	}
	for key, n := range count.runs {
		if n != 1 {
			t.Errorf("%s ran %d times, want once", key, n)
		}
	}
}

// Guards against keeping the claim of a call that did not run.
func TestKeyOfACallThatDidNotRunIsReleased(t *testing.T) {
	_, store := startPlatform(t)
	c := newClaims(t, store, 1)
	refuse := func() (*spanrill.ServiceAnswer, *spanrill.Refusal) {
		return nil, spanrill.NewRefusal(spanrill.ReasonNoUpstream, "none")
	}
	if _, refusal := do(c, "k", refuse); refusal.Outcome() != spanrill.OutcomeNotRun {
		t.Fatalf("the outcome of a refused call is %v, want not-run", refusal.Outcome())
	}
	count := &counter{runs: map[string]int{}}
	deadline := time.Now().Add(5 * time.Second)
	for time.Now().Before(deadline) && count.runs["k"] == 0 {
		_, _ = do(c, "k", count.run("k"))
	}
	if count.runs["k"] != 1 {
		t.Fatalf("the key of a call that did not run ran %d times when it was claimed again, want 1", count.runs["k"])
	}
}

// Guards against a write for each of many concurrent claims.
func TestConcurrentClaimsAreBatched(t *testing.T) {
	p, store := startPlatform(t)
	ctx, cancel := context.WithCancel(context.Background())
	k := NewKeeper(ctx, store, clock.NewSystem(), WithWriteInterval(200))
	t.Cleanup(func() { cancel(); _ = k.Wait() })
	var wg sync.WaitGroup
	for i := range 500 {
		wg.Go(func() {
			r := record.Record{Key: fmt.Sprint(i), Attempt: fmt.Sprint(i)}
			if granted, _, err := k.Claim(ctx, 0, r); err != nil || !granted {
				t.Errorf("claim %d: granted %v with error %v, want it granted", i, granted, err)
			}
		})
	}
	wg.Wait()
	if w := p.Calls().Writes; w > 10 {
		t.Fatalf("%d writes for 500 claims, want at most 10", w)
	}
}

func TestRecordsExpire(t *testing.T) {
	s := record.NewSlot()
	s.Put(record.Record{Key: "old", ClaimedAt: 0})
	s.Put(record.Record{Key: "new", ClaimedAt: record.Lifetime})
	s.Expire(record.Lifetime + 1)
	if _, ok := s.Find("old"); ok || s.Len() != 1 {
		t.Fatalf("%d records remain, want only the new one", s.Len())
	}
}

// Guards against granting a key twice after the platform restores an older copy of the slot.
func TestKeysAreGrantedOnceAfterARestore(t *testing.T) {
	for _, c := range []struct {
		name       string
		running    bool // the call ends after the restore
		lostWrites int
	}{{"claim and outcome lost", false, 2}, {"outcome lost", false, 1}, {"claim lost while the call runs", true, 1}} {
		t.Run(c.name, func(t *testing.T) {
			p, store := startPlatform(t)
			ctx, cancel := context.WithCancel(context.Background())
			k := NewKeeper(ctx, store, clock.NewSystem(), WithWriteInterval(5))
			t.Cleanup(func() { cancel(); _ = k.Wait() })
			claim := func(key, attempt string) bool {
				granted, _, err := k.Claim(ctx, 0, record.Record{Key: key, Attempt: attempt, ClaimedAt: clock.NewSystem().Unix()})
				if err != nil {
					t.Fatal(err)
				}
				return granted
			}
			claim("earlier", "1")
			ended := record.Record{Key: "call", Attempt: "1", ClaimedAt: clock.NewSystem().Unix(), Ended: true, Outcome: spanrill.OutcomeRan, Status: 200}
			if !claim("call", "1") {
				t.Fatal("the first attempt was not granted")
			}
			if !c.running {
				k.RecordOutcome(0, ended)
				claim("written with the end", "1")
			}
			if err := p.Restore(record.ObjectKey(0), c.lostWrites); err != nil {
				t.Fatal(err)
			}
			claim("after the restore", "1")
			if c.running {
				k.RecordOutcome(0, ended)
			}
			if claim("call", "2") {
				t.Error("a second attempt was granted after the restore")
			}
		})
	}
}
