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
	table.Merge(fleet.Knowledge{Entries: []spanrill.EngineEntry{{ID: "a", Service: "s", Addr: "1:1"}}, At: 1, Change: 1}, 0)
	return &request{ctx: context.Background(), relay: r, try: suspect.New(c).Begin(0), route: &spanrill.Route{}, service: &spanrill.ServiceInfo{Name: "s"}}, c
}

// A daemon whose entries are old sends requests if the platform's store answers nobody,
// and refuses them if it answers others, until it has newer entries.
func TestOldEntries(t *testing.T) {
	for _, c := range []struct {
		name   string
		age    spanrill.Millis // of its entries
		others spanrill.Millis // age of what others know, or -1 if nothing is heard of them
		want   bool            // whether requests are sent
	}{
		{"they are new", 600, 100, true},
		{"old enough for a dial, and others have newer ones", testDrain - 400, 100, true},
		{"too old for a dial, and others have newer ones", testDrain - 350, 100, false},
		{"very old, and others have newer ones", 20 * spanrill.Second, 1000, false},
		{"very old, and nothing is heard of others", 20 * spanrill.Second, -1, true},
		{"very old, and the store answers nobody any more", 20 * spanrill.Second, testDrain, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			q, manual := plainRequest()
			manual.Advance(c.age)
			if c.others >= 0 {
				q.relay.Fleet.Answered(c.age-c.others, c.age-c.others)
			}
			refusal := q.maySend()
			if (refusal == nil) != c.want {
				t.Fatalf("refused with %v", refusal)
			}
			if refusal == nil {
				return
			}
			if refusal.Reason() != spanrill.ReasonUpstreamsStale || refusal.RetryAfter() <= 0 {
				t.Fatalf("refused with %v", refusal)
			}
			if q.relay.Fleet.Prove(2, 1, manual.Now()); q.maySend() != nil {
				t.Fatal("refused after the entries were proved")
			}
		})
	}
}

// An entry that may have lapsed gets requests until its time is over, also before the
// next look at what is over.
func TestHeldUntilTheMoment(t *testing.T) {
	q, manual := plainRequest()
	q.relay.Fleet.NoteOutage()
	q.relay.Fleet.Merge(fleet.Knowledge{At: 2, Change: 2}, manual.Now())
	const latest = testDrain - 350 // a dial
	sent := spanrill.Millis(0)
	for ; manual.Now() < testDrain; manual.Advance(10) {
		if q.pickPlain(nil) != nil {
			sent = manual.Now()
		}
	}
	if sent < latest-100 || sent > latest {
		t.Fatalf("the last request is sent after %d ms, want about %d", sent, latest)
	}
}
