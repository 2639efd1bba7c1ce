package spanrillcmd

import (
	"context"
	"strings"
	"testing"

	"spanrill/platform"
	"spanrill/platform/platformtest"
	"spanrill/transport/httpcall"
)

// The plan of a fleet that holds nothing names the chains, and what a loss costs
// at once and after its repair.
func TestPlanOfAnEmptyFleet(t *testing.T) {
	store := platformtest.NewStore()
	addr, err := store.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	platformtest.WriteSample(store, 9)
	plans, err := readPlans(context.Background(), platform.NewStore(addr, httpcall.New()))
	if err != nil || len(plans) != 1 {
		t.Fatalf("%d plans, error %v", len(plans), err)
	}
	p := plans[0]
	if !p.Planned || p.Rate <= 0 || len(p.Chains) < 2 || len(p.Losses) == 0 {
		t.Fatalf("%+v", p)
	}
	for _, l := range p.Losses {
		if l.RateAfterLoss >= l.RateBefore || l.RateRepaired < l.RateAfterLoss {
			t.Errorf("%+v", l)
		}
	}
	var text strings.Builder
	p.print(&text)
	if !strings.Contains(text.String(), "as it would be planned") || !strings.Contains(text.String(), "without i-") {
		t.Fatalf("printed %s", text.String())
	}
}
