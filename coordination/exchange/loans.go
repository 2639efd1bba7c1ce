package exchange

import (
	"context"
	"math"
	"sort"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
	"spanrill/protocol/peermsg"
)

const (
	// maxLenders is how many daemons are asked for a loan, one after the other. When one engine in
	// ten is lost, about a third of the daemons have no retry to lend.
	maxLenders = 4
	// loanTimeout bounds one request for a loan: many times a round trip of 1 ms between
	// availability zones. It is short, because the stream that needs the retry waits for it.
	loanTimeout spanrill.Millis = 20
)

// Borrow asks up to maxLenders random daemons, those of its own availability zone first, for retries
// from their budgets for a service, until it has as many as wanted. It returns how many they lent.
func (e *Exchange) Borrow(ctx context.Context, service string, want float64) float64 {
	got, asked := 0.0, 0
	for _, m := range e.lenders() {
		if got >= want || ctx.Err() != nil {
			break
		}
		asked++
		got += e.borrowFrom(ctx, m, service, want-got)
	}
	events.RetriesBorrowed.Log(e.log, logrus.Fields{"service": service, "want": want, "got": got, "asked": asked})
	return got
}

// borrowFrom asks one daemon for retries. A loan that is negative or larger than requested is
// rejected, because it would change the sum of all daemons' budgets.
func (e *Exchange) borrowFrom(ctx context.Context, m peermsg.Member, service string, want float64) float64 {
	ctx, cancel := context.WithTimeout(ctx, loanTimeout.Duration())
	defer cancel()
	var loan peermsg.Loan
	if err := e.peers.Request(ctx, m.PeerAddr, uint8(peermsg.KindLoan), &peermsg.LoanRequest{Service: service, Want: want}, &loan); err != nil {
		return 0 // the next daemon is asked; retries lent in a late answer expire unused
	}
	if math.IsNaN(loan.Retries) || loan.Retries < 0 || loan.Retries > want {
		events.LoanInvalid.Log(e.log, logrus.Fields{"peer": m.Name, "service": service, "want": want, "loan": loan.Retries})
		return 0
	}
	return loan.Retries
}

// lenders returns up to maxLenders random daemons in the order in which to ask them: those that
// did not answer their last request come last, otherwise this daemon's availability zone comes first.
func (e *Exchange) lenders() []peermsg.Member {
	others, zone := e.peers.Others(), e.state.Zone
	for i := len(others) - 1; i > 0; i-- {
		j := e.random.IntN(i + 1)
		others[i], others[j] = others[j], others[i]
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	sort.SliceStable(others, func(i, j int) bool {
		a, b := others[i], others[j]
		if e.unresponsive[a.Name] != e.unresponsive[b.Name] {
			return e.unresponsive[b.Name]
		}
		return a.Zone == zone && b.Zone != zone
	})
	return others[:min(maxLenders, len(others))]
}

// HandleLoanRequest answers a peer's request for a loan.
func (e *Exchange) HandleLoanRequest(req *peermsg.LoanRequest) *peermsg.Loan {
	return &peermsg.Loan{Retries: e.state.Budgets.Lend(req.Service, req.Want)}
}
