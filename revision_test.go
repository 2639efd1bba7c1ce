package spanrill

import "testing"

// Guards against revisions that are not ordered by era, and against overflow.
func TestRevisionOf(t *testing.T) {
	for _, c := range []struct{ era, counter, want uint64 }{
		{0, 0, 0}, {0, 152, 152}, {1, 152, 1_000_000_000_152}, {2, 0, 2_000_000_000_000}, {maxEra + 5, 1, maxEra*eraFactor + 1}, {1, eraFactor, 2*eraFactor - 1},
	} {
		got := RevisionOf(c.era, c.counter)
		if got != c.want || EraOf(got) != min(c.era, maxEra) || CounterOf(got) != min(c.counter, eraFactor-1) {
			t.Errorf("revision of era %d, counter %d: %d, want %d", c.era, c.counter, got, c.want)
		}
	}
	if RevisionOf(1, eraFactor-1) >= RevisionOf(2, 0) {
		t.Error("a revision of a later era is not higher than one of an earlier era")
	}
}
