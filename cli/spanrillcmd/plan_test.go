package spanrillcmd

import (
	"context"
	"strings"
	"testing"

	"spanrill/platform"
	"spanrill/platform/platformtest"
	"spanrill/transport/httpcall"
)

// For a fleet whose engines hold no layers the command prints the chains that would be planned, and
// the rates right after the loss of an engine and after its repair.
func TestPlanOfFleetWithoutLayers(t *testing.T) {
	store := platformtest.NewStore()
	addr, err := store.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	platformtest.WriteSample(store, 9)
	plans, err := readPlans(context.Background(), platform.NewStore(addr, httpcall.New()))
	if err != nil || len(plans) != 1 {
		t.Fatalf("read %d plans with error %v, want 1 plan and no error", len(plans), err)
	}
	p := plans[0]
	if !p.Planned || p.Rate <= 0 || len(p.Chains) < 2 || len(p.Losses) == 0 {
		t.Fatalf("plan lacks a rate, chains or losses, or is not marked as planned: %+v", p)
	}
	for _, l := range p.Losses {
		if l.RateAfterLoss >= l.RateBefore || l.RateRepaired < l.RateAfterLoss {
			t.Errorf("want the rate to fall with the loss and not to fall further with the repair: %+v", l)
		}
	}
	var text strings.Builder
	p.print(&text)
	if !strings.Contains(text.String(), "as it would be planned") || !strings.Contains(text.String(), "without i-") {
		t.Fatalf("output lacks the planned layout or its losses:\n%s", text.String())
	}
}
