package exchange

import (
	"context"
	"math"
	"testing"

	"spanrill/coordination/retry"
	"spanrill/coordination/suspect"
	"spanrill/protocol/peermsg"
)

// lender is a peer that answers loan requests as the test sets.
type lender struct {
	*peer
	loan  float64
	fails bool
	asked []peermsg.LoanRequest
}

func (l *lender) Request(_ context.Context, _ string, kind uint8, req, reply any) error {
	if kind != uint8(peermsg.KindLoan) || l.fails {
		return errSilent
	}
	l.asked = append(l.asked, *req.(*peermsg.LoanRequest)) //nolint:forcetypeassert // of this kind
	data, err := peermsg.Encode(&peermsg.Loan{Retries: l.loan})
	if err != nil {
		return err
	}
	return peermsg.Decode(data, reply)
}

// A loan counts up to the requested amount; invalid loans and failed requests count as none.
func TestBorrow(t *testing.T) {
	for _, c := range []struct {
		name  string
		loan  float64
		fails bool
		want  float64
	}{
		{"full amount", 2, false, 2},
		{"part of the amount", 0.5, false, 0.5},
		{"zero", 0, false, 0},
		{"more than requested", 3, false, 0},
		{"negative", -1, false, 0},
		{"not a number", math.NaN(), false, 0},
		{"infinite", math.Inf(1), false, 0},
		{"no answer", 2, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, here, _, wire := pair(1)
			from := &lender{peer: wire, loan: c.loan, fails: c.fails}
			here.exchange.peers = from
			if got := here.exchange.Borrow(context.Background(), "s", 2); got != c.want {
				t.Fatalf("borrowed %v retries, want %v", got, c.want)
			}
			if !c.fails && (len(from.asked) != 1 || from.asked[0].Service != "s" || from.asked[0].Want != 2) {
				t.Fatalf("the peer received %+v, want one request for 2 retries of service s", from.asked)
			}
		})
	}
}

// What a daemon lends is taken off its own budget. Invalid requests and unknown services get
// nothing.
func TestLend(t *testing.T) {
	_, _, there, _ := pair(1)
	there.budgets.Of("s")
	there.budgets.StartRound(nil, retry.Fleet{Known: 2, Daemons: 2, Rounds: 1, Complete: true})
	before := there.budgets.Of("s").Remaining()
	for _, want := range []float64{-5, 0, math.NaN(), math.Inf(-1)} {
		if got := there.exchange.HandleLoanRequest(&peermsg.LoanRequest{Service: "s", Want: want}).Retries; got != 0 {
			t.Fatalf("lent %v for a request of %v, want 0", got, want)
		}
	}
	if got := there.exchange.HandleLoanRequest(&peermsg.LoanRequest{Service: "unknown", Want: 1}).Retries; got != 0 {
		t.Fatalf("lent %v of an unknown service, want 0", got)
	}
	got := there.exchange.HandleLoanRequest(&peermsg.LoanRequest{Service: "s", Want: math.Inf(1)}).Retries
	if left := there.budgets.Of("s").Remaining(); got <= 0 || got > 2 || left != before-got {
		t.Fatalf("lent %v of %v retries, %v left; want more than 0 and up to 2 lent, and the rest left", got, before, left)
	}
}

func testSeeds(hasSeeds bool) []string {
	if hasSeeds {
		return []string{"seed"}
	}
	return nil
}

// noPeers is a fleet in which no other daemon is known.
type noPeers struct{ *peer }

func (noPeers) Others() []peermsg.Member { return nil }

// A daemon with seeds that has heard of no other daemon does not consider the fleet's size
// known until seedWait is over.
func TestFleetSizeWithoutPeers(t *testing.T) {
	for _, hasSeeds := range []bool{false, true} {
		c, here, _, wire := pair(1)
		e := New(noPeers{wire}, State{Name: "here", Seeds: testSeeds(hasSeeds), Config: here.config, Fleet: here.table, Budgets: here.budgets, Suspects: suspect.New(c)}, c, here.exchange.log, here.exchange.random)
		c.Advance(settleTime)
		if e.FleetSizeKnown() == hasSeeds {
			t.Errorf("with seeds %v: fleet size known after %d ms alone, want known only without seeds", hasSeeds, settleTime)
		}
		c.Advance(seedWait)
		if !e.FleetSizeKnown() {
			t.Errorf("with seeds %v: fleet size not known after %d ms alone, want known", hasSeeds, settleTime+seedWait)
		}
	}
}
