package relay

import (
	"testing"

	"spanrill"
	"spanrill/coordination/chainrouting"
	"spanrill/rng"
)

// When an engine is to give up layers, the requests of a full chain move over a time, and not at once.
// Without a delay each tries at once, and again after an interval, whatever its path is then.
func TestVacateSchedule(t *testing.T) {
	random, path := rng.New(1), &chainrouting.Path{}
	inFirst, moved := 0, 0
	for range 100 {
		var v vacateSchedule
		for now := spanrill.Millis(1000); now <= 1000+maxVacateDelay; now += 50 {
			if !v.due(now, path, maxVacateDelay, random.Float64) {
				continue
			}
			moved++
			if now < 1250 {
				inFirst++
			}
			break
		}
	}
	if moved != 100 || inFirst > 30 {
		t.Errorf("%d of 100 requests moved, %d of them in the first quarter of a second, want 100 and at most 30", moved, inFirst)
	}
	var v vacateSchedule
	other := &chainrouting.Path{}
	for i, c := range []struct {
		at   spanrill.Millis
		path *chainrouting.Path
		want bool
	}{{0, path, true}, {vacateInterval - 1, path, false}, {vacateInterval, path, true}, {vacateInterval + 1, other, false}, {2 * vacateInterval, other, true}} {
		if got := v.due(c.at, c.path, 0, random.Float64); got != c.want {
			t.Errorf("case %d: due %t, want %t", i, got, c.want)
		}
	}
}
