package retry

import "testing"

func TestRetriesAreAFractionOfSuccesses(t *testing.T) {
	b := NewBudget(WithReserve(5))
	for range 5 {
		if !b.Take() {
			t.Fatal("a retry of the reserve of 5 was refused")
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
		t.Fatalf("%d retries allowed after 100 successes, want 5", spent)
	}
}
