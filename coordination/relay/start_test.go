package relay

import (
	"testing"

	"spanrill"
	"spanrill/clock"
)

// Requests that arrive before configuration and upstreams are known are held until they are, but not
// longer than maxHold, and not at all if the store does not answer.
func TestStartupHold(t *testing.T) {
	for _, c := range []struct {
		name              string
		storeUnresponsive bool
		config            spanrill.Millis // when the configuration is known
		entries           spanrill.Millis // when the upstreams are known
		held              spanrill.Millis // how long a request waits
	}{
		{"all known", false, 0, 0, 0},
		{"store does not answer", true, 100, 100, 0},
		{"both become known", false, 30, 80, 80},
		{"upstreams first", false, 90, 20, 90},
		{"configuration too late", false, 300, 20, maxHold},
		{"upstreams too late", false, 20, 300, maxHold},
	} {
		t.Run(c.name, func(t *testing.T) {
			manual, config, entries := clock.NewManual(), make(chan struct{}), make(chan struct{})
			s := newStartupHold(manual, func() bool { return c.storeUnresponsive }, config, entries)
			q := testRequest(t.Context())
			if c.config == 0 {
				close(config)
				close(entries)
			}
			done := make(chan bool)
			go func() { done <- s.await(q.relay.Log) }()
			wantHeld := c.held > 0
			if wantHeld {
				manual.AwaitTimers(1)
			}
			const step spanrill.Millis = 10
			for now := step; now <= c.held; now += step {
				select {
				case <-done:
					t.Fatalf("request waited at most %d ms, want %d ms", now-step, c.held)
				default:
				}
				manual.Advance(step)
				if now == c.config {
					close(config)
				}
				if now == c.entries {
					close(entries)
				}
			}
			if held := <-done; held != wantHeld {
				t.Fatalf("held: %t, want %t", held, wantHeld)
			}
			if heldAt := s.firstHeldAt.Load(); (heldAt != noneHeld) != wantHeld {
				t.Fatalf("first request held at %d ms (-1 if none was), want the opposite", heldAt)
			}
		})
	}
}
