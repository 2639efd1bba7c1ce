package retry

import "testing"

func TestRetriesAreAFractionOfSuccesses(t *testing.T) {
	b := NewBudget(WithReserve(5))
	for range 5 {
		if !b.Take() {
			t.Fatal("the reserve holds fewer than 5 retries")
		}
	}
	if b.Take() {
		t.Fatal("a retry beyond the reserve was allowed")
	}
	for range 100 {
		b.RecordSuccess()
	}
	spent := 0
	for b.Take() {
		spent++
	}
	if spent != 5 { // the successes allow ten, the reserve is limited to five
		t.Fatalf("%d retries after 100 successes, want 5", spent)
	}
}
