package retry

import (
	"testing"

	"spanrill"
	"spanrill/clock"
)

var testLimits = Limits{Ratio: 0.2, Slack: 200, Window: 10 * spanrill.Second}

// Guards against exceeding the budget in a window when each daemon spends all it may, with counts
// of other daemons that are one to many rounds old.
func TestFleetStaysWithinBudget(t *testing.T) {
	for _, c := range []struct {
		name            string
		daemons, rounds int
	}{
		{"all counts arrive in every round", 8, 1},
		{"all counts arrive within twelve rounds", 71, 12},
		{"all counts arrive within sixty rounds", 350, 60},
	} {
		t.Run(c.name, func(t *testing.T) { checkWindowBudget(t, c.daemons, c.rounds) })
	}
}

// checkWindowBudget simulates a minute in which daemons spend all they may, and receive the counts
// of a part of the others in each round. It fails if a window exceeds the budget.
func checkWindowBudget(t *testing.T, daemons, rounds int) {
	c := clock.NewManual()
	known := make([][]Count, daemons)
	for i := range known {
		known[i] = make([]Count, daemons)
	}
	all := make([]*SharedBudget, daemons)
	for i := range all {
		all[i] = NewSharedBudget(c, testLimits, daemons)
	}
	type event struct {
		at spanrill.Millis
		n  int64
	}
	var spent, requests []event
	for round := range 240 {
		for i, s := range all {
			if i%2 == 0 {
				s.RecordRequest()
				requests = append(requests, event{c.Now(), 1})
			}
			for s.Take(PriorityRunning) { // take as many as possible
				spent = append(spent, event{c.Now(), 1})
			}
		}
		counts := make([]Count, daemons)
		for i, s := range all {
			counts[i] = s.OwnCount()
		}
		c.Advance(250)
		for i, s := range all {
			var others Count
			for j := range counts {
				if (j+round)%rounds == 0 {
					known[i][j] = counts[j]
				}
				if j != i {
					others.Requests += known[i][j].Requests
					others.Retries += known[i][j].Retries
				}
			}
			s.StartRound(others, Fleet{Known: min(daemons, (round+1)*daemons/rounds), Daemons: daemons, Rounds: rounds, Complete: true})
		}
		inWindow := func(events []event) (n int64) {
			for _, e := range events {
				if e.at > c.Now()-testLimits.Window {
					n += e.n
				}
			}
			return n
		}
		if limit := testLimits.Ratio*float64(inWindow(requests)) + testLimits.Slack; float64(inWindow(spent)) > limit {
			t.Fatalf("round %d: %d retries in a window, want at most %.0f", round, inWindow(spent), limit)
		}
	}
}

// takeAll takes all available retries and returns their number.
func takeAll(s *SharedBudget) int {
	n := 0
	for s.Take(PriorityRunning) {
		n++
	}
	return n
}

// Guards against limiting a daemon to an equal share when the other daemons need no retries.
func TestOneDaemonGetsUnusedShares(t *testing.T) {
	const daemons = 8
	c := clock.NewManual()
	s := NewSharedBudget(c, testLimits, daemons)
	n := 0
	for range 8 {
		n += takeAll(s)
		c.Advance(250)
		s.StartRound(Count{Requests: 500}, Fleet{Known: daemons, Daemons: daemons, Rounds: 1, Complete: true})
	}
	if n < 100 {
		t.Fatalf("%d retries in two seconds, want at least 100 of 300", n)
	}
}

// Guards against a daemon that spends more than its share when it gets no counts from others.
func TestIsolatedDaemonStaysWithinItsShare(t *testing.T) {
	const daemons = 8
	c := clock.NewManual()
	s := NewSharedBudget(c, testLimits, daemons)
	n := 0
	for range 36 {
		n += takeAll(s)
		c.Advance(250)
		s.StartRound(Count{}, Fleet{Known: 1, Daemons: daemons, Rounds: 1, Complete: true})
	}
	if limit := int(testLimits.Slack / daemons); n > limit {
		t.Fatalf("%d retries of a daemon without counts of the others, want at most its share of the slack, %d", n, limit)
	}
}

// Guards against spending the slack several times when all daemons have just started and none knows
// how many there are: until then a daemon may spend only what its own requests allow.
func TestDaemonSpendsOnlyOwnEarningsWhileFleetSizeIsUnknown(t *testing.T) {
	const daemons, requests = 71, 40
	c := clock.NewManual()
	spent := 0
	for range daemons {
		s := NewSharedBudget(c, testLimits, 1)
		spent += takeAll(s)
		for range requests {
			s.RecordRequest()
		}
		s.StartRound(Count{}, Fleet{Known: 1, Daemons: 2, Rounds: 1})
		spent += takeAll(s)
	}
	if limit := testLimits.Ratio*daemons*requests + testLimits.Slack; spent == 0 || float64(spent) > limit {
		t.Fatalf("%d retries of all daemons, want some and at most %.0f", spent, limit)
	}
}

// Guards against a different budget for a service that is first used after the number of daemons is
// known.
func TestBudgetOfNewService(t *testing.T) {
	b := NewBudgets(clock.NewManual(), testLimits, 1)
	b.Of("old")
	b.StartRound(nil, Fleet{Known: 2, Daemons: 2, Rounds: 1, Complete: true})
	if first, second := b.Of("old").Remaining(), b.Of("new").Remaining(); first != second {
		t.Fatalf("%v retries remain for the old service, %v for the new one", first, second)
	}
}
