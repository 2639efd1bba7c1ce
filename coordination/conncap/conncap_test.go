package conncap

import "testing"

func TestIdle(t *testing.T) {
	for _, c := range []struct {
		name                 string
		limit, daemons, want int
	}{
		{"seven daemons, a small service", 49, 7, 3},
		{"alone", 49, 1, 24},
		{"more daemons than half the cap", 120, 83, 1},
		{"more daemons than three quarters of it", 49, 37, 0},
		{"hundreds of daemons, a large engine", 1318, 295, 2},
		{"no cap is told", 0, 7, mostIdle},
		{"a cap that cannot be", -5, 7, mostIdle},
		{"a cap of 10^9", 1e9, 7, mostIdle},
		{"no daemon is known", 49, 0, 24},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := Idle(c.limit, c.daemons)
			if got != c.want {
				t.Errorf("%d are kept, want %d", got, c.want)
			}
			if c.limit > 0 && got*max(1, c.daemons) > c.limit {
				t.Errorf("%d daemons keep %d each, over the cap of %d", c.daemons, got, c.limit)
			}
		})
	}
}

func TestIdleOfAll(t *testing.T) {
	for _, c := range []struct{ descriptors, want int }{{4100, 1025}, {0, 256}, {-3, 256}, {1, 1}, {1 << 20, 1 << 18}} {
		if got := IdleOfAll(c.descriptors); got != c.want {
			t.Errorf("of %d descriptors %d are kept, want %d", c.descriptors, got, c.want)
		}
	}
}
