package retry

import "testing"

func TestRetriesAreAFractionOfSuccesses(t *testing.T) {
	b := NewBudget(WithReserve(5))
	for range 5 {
		if !b.Take() {
			t.Fatal("the reserve is short")
		}
	}
	if b.Take() {
		t.Fatal("more than the reserve was spent")
	}
	for range 100 {
		b.Success()
	}
	spent := 0
	for b.Take() {
		spent++
	}
	if spent != 5 { // ten were earned, the reserve holds five
		t.Fatalf("%d retries after 100 successes", spent)
	}
}
