package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"spanrill/meter"
	"spanrill/scene"
)

// Report is the result of a run. Times are in milliseconds. Useful answers are
// correct, complete and in time.
type Report struct {
	Scene             string             `json:"scene"`
	Policy            string             `json:"policy"`
	Load              float64            `json:"load"`                // offered load as a fraction of the bound
	Bound             float64            `json:"bound"`               // requests a second, see the function Bound
	Offered           float64            `json:"offered"`             // requests a second
	Useful            float64            `json:"useful"`              // requests a second
	UsefulOverBound   float64            `json:"useful_over_bound"`   // Useful as a fraction of Bound
	UsefulOverOffered float64            `json:"useful_over_offered"` // Useful as a fraction of Offered
	FirstTokenP50     float64            `json:"first_token_p50"`
	FirstTokenP95     float64            `json:"first_token_p95"`
	FirstTokenP99     float64            `json:"first_token_p99"`
	BetweenTokensP95  float64            `json:"between_tokens_p95"`
	RefusalP99        float64            `json:"refusal_p99"` // until a refusal or another failure
	Wrong             int                `json:"wrong"`
	Late              int                `json:"late"`
	Failed            map[string]int     `json:"failed"`
	Retries           map[string]uint64  `json:"retries"`
	Accounts          []AccountReport    `json:"accounts,omitempty"`
	Recovery          map[string]float64 `json:"recovery,omitempty"`
}

// AccountReport is the result of a run for one client account, in requests a second
// and milliseconds.
type AccountReport struct {
	Account  string  `json:"account"`
	Offered  float64 `json:"offered"`
	Useful   float64 `json:"useful"`
	WholeP99 float64 `json:"whole_p99"` // until the whole answer was received
}

// Throughput starts a scene, offers a load to it and reports its answers.
func Throughput(ctx context.Context, spec scene.Spec, o Options) (*Report, error) {
	o = o.withDefaults()
	s, err := scene.Start(ctx, spec)
	if err != nil {
		return nil, fmt.Errorf("start scene: %w", err)
	}
	defer s.Close()
	bound := Bound(spec.Engines, spec.Model.Layers, o.Mix)
	r := newRunner(s, o, time.Now())
	r.run(ctx, planArrivals(s, o, bound*o.Load))
	return newReport(s, o, bound, r.tally), nil
}

func newReport(s *scene.Scene, o Options, bound float64, t *Tally) *Report {
	seconds := o.Duration.Seconds()
	r := &Report{
		Scene: s.Spec().Model.Name, Policy: s.Daemons()[0].Status().RoutingPolicy, Load: o.Load, Bound: bound,
		Offered: float64(t.offered) / seconds, Useful: float64(t.useful) / seconds,
		FirstTokenP50: percentile(t.firstToken, 50), FirstTokenP95: percentile(t.firstToken, 95), FirstTokenP99: percentile(t.firstToken, 99),
		BetweenTokensP95: percentile(t.betweenTokens, 95), RefusalP99: percentile(t.refusals, 99),
		Wrong: t.wrong, Late: t.late, Failed: t.failed, Retries: retriesByReason(s),
	}
	r.UsefulOverBound = r.Useful / bound
	r.UsefulOverOffered = float64(t.useful) / float64(max(1, t.offered))
	for i, a := range t.accounts {
		r.Accounts = append(r.Accounts, AccountReport{
			Account: s.Spec().Accounts[i].Name, Offered: float64(a.offered) / seconds,
			Useful: float64(a.useful) / seconds, WholeP99: percentile(a.answers, 99),
		})
	}
	return r
}

// retriesByReason sums the retries of all daemons by reason.
func retriesByReason(s *scene.Scene) map[string]uint64 {
	total := map[string]uint64{}
	for _, d := range s.Daemons() {
		for _, reason := range meter.RetryReasons() {
			if n := d.Meters().Retries(reason); n > 0 {
				total[reason.String()] += n
			}
		}
	}
	return total
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	if err := json.NewEncoder(w).Encode(r); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// RowHeader is the heading of the rows that WriteRow writes.
const RowHeader = "scene           policy           load  bound/s useful/s  /bound /offer  first p50    p95    p99  between p95  refused in p99  failed; retries"

// WriteRow writes the report as one row of a table.
func (r *Report) WriteRow(w io.Writer) {
	fmt.Fprintf(w, "%-15s %-15s %5.2f %8.1f %8.1f %7.3f %6.3f %10.1f %6.1f %6.1f %12.1f %15.1f  %s; %s\n",
		r.Scene, r.Policy, r.Load, r.Bound, r.Useful, r.UsefulOverBound, r.UsefulOverOffered,
		r.FirstTokenP50, r.FirstTokenP95, r.FirstTokenP99, r.BetweenTokensP95, r.RefusalP99, formatFailures(r), formatCounts(r.Retries))
}

// formatFailures formats the counts of failed, wrong and late answers.
func formatFailures(r *Report) string {
	byCode := map[string]uint64{}
	for code, n := range r.Failed {
		byCode[code] = uint64(n)
	}
	if r.Wrong > 0 {
		byCode["WRONG"] = uint64(r.Wrong)
	}
	if r.Late > 0 {
		byCode["late"] = uint64(r.Late)
	}
	return formatCounts(byCode)
}

func formatCounts(counts map[string]uint64) string {
	if len(counts) == 0 {
		return "none"
	}
	parts := make([]string, 0, len(counts))
	for name, n := range counts {
		parts = append(parts, fmt.Sprintf("%s=%d", name, n))
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}

// WriteAccounts writes a heading and a row for each client account.
func (r *Report) WriteAccounts(w io.Writer) {
	fmt.Fprintf(w, "  %-14s %10s %10s %12s\n", "account", "offered/s", "useful/s", "whole p99")
	for _, a := range r.Accounts {
		fmt.Fprintf(w, "  %-14s %10.1f %10.1f %12.1f\n", a.Account, a.Offered, a.Useful, a.WholeP99)
	}
}
