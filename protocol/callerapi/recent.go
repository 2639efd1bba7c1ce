package callerapi

import (
	"spanrill"
	"spanrill/coordination/pipeline"
)

// Finished is a generation that has ended, for operators.
type Finished struct {
	ID       string `json:"id"`
	Account  string `json:"account"`
	Model    string `json:"model"`
	Chain    string `json:"chain,omitempty"`
	Attempts int    `json:"attempts"`
	Tokens   int    `json:"tokens"`
	Outcome  string `json:"outcome"`
	Reason   string `json:"reason,omitempty"` // why it failed
}

// recentKept is how many finished generations are kept.
const recentKept = 256

// Recent returns the generations that ended last, newest first.
func (s *Server) Recent() []Finished { return s.recent.Values() }

// finished notes the end of a generation.
func (in *inference) finished(result *pipeline.Result, refusal *spanrill.Refusal) {
	f := Finished{ID: in.id, Account: in.grant.Account(), Model: in.model.Model().Name, Outcome: spanrill.OutcomeRan.String()}
	if result != nil {
		f.Chain, f.Attempts, f.Tokens = chainText(result.Chain()), result.Attempts(), result.Tokens()
	}
	if refusal != nil {
		f.Outcome, f.Reason = refusal.Outcome().String(), refusal.Reason().Code()
	}
	in.server.recent.Add(f)
}
