package conncap

import "testing"

func TestIdlePerUpstream(t *testing.T) {
	for _, c := range []struct {
		name                 string
		limit, daemons, want int
	}{
		{"seven daemons, a small service", 49, 7, 3},
		{"one daemon", 49, 1, 24},
		{"more daemons than half the cap", 120, 83, 1},
		{"more daemons than three quarters of the cap", 49, 37, 0},
		{"hundreds of daemons, a large engine", 1318, 295, 2},
		{"no cap", 0, 7, maxIdle},
		{"a negative cap", -5, 7, maxIdle},
		{"a cap of 10^9", 1e9, 7, maxIdle},
		{"no known daemon", 49, 0, 24},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := IdlePerUpstream(c.limit, c.daemons)
			if got != c.want {
				t.Errorf("%d idle connections per upstream, want %d", got, c.want)
			}
			if c.limit > 0 && got*max(1, c.daemons) > c.limit {
				t.Errorf("%d daemons keep %d idle connections each, which exceeds the cap of %d", c.daemons, got, c.limit)
			}
		})
	}
}

func TestIdleTotal(t *testing.T) {
	for _, c := range []struct{ descriptors, want int }{{4100, 1025}, {0, 256}, {-3, 256}, {1, 1}, {1 << 20, 1 << 18}} {
		if got := IdleTotal(c.descriptors); got != c.want {
			t.Errorf("with %d descriptors: %d idle connections, want %d", c.descriptors, got, c.want)
		}
	}
}

func TestTunnels(t *testing.T) {
	for _, c := range []struct{ descriptors, want int }{{4100, 256}, {0, 64}, {-3, 64}, {1, 1}, {16, 1}, {1 << 20, 1 << 16}} {
		if got := Tunnels(c.descriptors); got != c.want {
			t.Errorf("with %d descriptors: %d tunnels, want %d", c.descriptors, got, c.want)
		}
	}
}
