package callerapi

import (
	"spanrill"
	"spanrill/coordination/pipeline"
)

// FinishedGeneration describes a generation that has ended, successfully or not, for operators.
type FinishedGeneration struct {
	ID       string `json:"id"`
	Account  string `json:"account"`
	Model    string `json:"model"`
	Chain    string `json:"chain,omitempty"`
	Attempts int    `json:"attempts"`
	Tokens   int    `json:"tokens"`
	Outcome  string `json:"outcome"`
	Reason   string `json:"reason,omitempty"` // code of the refusal, if it failed
}

// maxRecent is how many finished generations RecentGenerations returns at most.
const maxRecent = 256

// RecentGenerations returns the generations that ended last, newest first.
func (s *Server) RecentGenerations() []FinishedGeneration { return s.recent.Values() }

// recordFinished adds a generation that has ended to the recent ones.
func (in *inference) recordFinished(result *pipeline.Result, refusal *spanrill.Refusal) {
	f := FinishedGeneration{ID: in.id, Account: in.grant.Account(), Model: in.model.Model().Name, Outcome: spanrill.OutcomeRan.String()}
	if result != nil {
		f.Chain, f.Attempts, f.Tokens = formatChain(result.Chain()), result.Attempts(), result.Tokens()
	}
	if refusal != nil {
		f.Outcome, f.Reason = refusal.Outcome().String(), refusal.Reason().Code()
	}
	in.server.recent.Add(f)
}
