package relay

import (
	"context"
	"testing"

	"spanrill"
	"spanrill/clock"
	"spanrill/coordination/suspect"
	"spanrill/rng"
	"spanrill/state/fleet"
)

const testDrain = 3 * spanrill.Second

func plainRequest() (*request, *clock.Manual) {
	c := clock.NewManual()
	table := fleet.New(c, nil, fleet.WithDrain(testDrain))
	r := &Relay{Dependencies: Dependencies{Fleet: table, Clock: c, Random: rng.New(1)}}
	table.Merge(fleet.Update{Entries: []spanrill.EngineEntry{{ID: "a", Service: "s", Addr: "1:1"}}, Revision: 1, LastChange: 1}, 0)
	return &request{ctx: context.Background(), relay: r, guard: suspect.New(c).Begin(0), route: &spanrill.Route{}, service: &spanrill.ServiceInfo{Name: "s"}}, c
}

// A daemon with old entries of upstreams sends requests if the store answers no daemon. If the
// store answers others, the daemon refuses requests until its entries are confirmed.
func TestStaleUpstreamEntries(t *testing.T) {
	for _, c := range []struct {
		name      string
		age       spanrill.Millis // of the entries
		othersAge spanrill.Millis // of the entries of other daemons, or -1 if unknown
		wantSent  bool            // whether requests are sent
	}{
		{"new", 600, 100, true},
		{"new enough for a connection attempt, others have newer ones", testDrain - 400, 100, true},
		{"too old for a connection attempt, others have newer ones", testDrain - 350, 100, false},
		{"very old, others have newer ones", 20 * spanrill.Second, 1000, false},
		{"very old, others unknown", 20 * spanrill.Second, -1, true},
		{"very old, the store answers no daemon any more", 20 * spanrill.Second, testDrain, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			q, manual := plainRequest()
			manual.Advance(c.age)
			if c.othersAge >= 0 {
				q.relay.Fleet.RecordStoreAvailable(c.age-c.othersAge, c.age-c.othersAge)
			}
			refusal := q.checkBeforeSend()
			if (refusal == nil) != c.wantSent {
				t.Fatalf("refusal %v, want none exactly in cases with wantSent", refusal)
			}
			if refusal == nil {
				return
			}
			if refusal.Reason() != spanrill.ReasonUpstreamsStale || refusal.RetryAfter() <= 0 {
				t.Fatalf("refused with %v, want ReasonUpstreamsStale with a retry time", refusal)
			}
			if q.relay.Fleet.ConfirmUnchanged(2, 1, manual.Now()); q.checkBeforeSend() != nil {
				t.Fatal("refused although the entries were confirmed")
			}
		})
	}
}

// An upstream whose entry may have lapsed gets requests until the entry expires, less the time of a
// connection attempt, even if the table has not checked for expired entries by then.
func TestLapsingEntryServesUntilExpiry(t *testing.T) {
	q, manual := plainRequest()
	q.relay.Fleet.RecordStoreFailure()
	q.relay.Fleet.Merge(fleet.Update{Revision: 2, LastChange: 2}, manual.Now())
	const latest = testDrain - 350 // the time of a connection attempt
	lastSent := spanrill.Millis(0)
	for ; manual.Now() < testDrain; manual.Advance(10) {
		if q.pickPlain(nil) != nil {
			lastSent = manual.Now()
		}
	}
	if lastSent < latest-100 || lastSent > latest {
		t.Fatalf("last request sent after %d ms, want %d ms or up to 100 ms less", lastSent, latest)
	}
}
