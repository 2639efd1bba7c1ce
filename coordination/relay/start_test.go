package relay

import (
	"testing"

	"spanrill"
	"spanrill/clock"
)

// Requests that come before it is known what the store holds are answered once it is, and
// wait neither for long nor in vain.
func TestStartHoldsRequests(t *testing.T) {
	for _, c := range []struct {
		name     string
		hopeless bool
		config   spanrill.Millis // when the configuration is known
		entries  spanrill.Millis // when the upstreams are
		held     spanrill.Millis // how long a request waits
	}{
		{"all is known", false, 0, 0, 0},
		{"the store does not answer", true, 100, 100, 0},
		{"both come", false, 30, 80, 80},
		{"the upstreams come first", false, 90, 20, 90},
		{"the configuration comes too late", false, 300, 20, holdTime},
		{"the upstreams come too late", false, 20, 300, holdTime},
	} {
		t.Run(c.name, func(t *testing.T) {
			manual, config, entries := clock.NewManual(), make(chan struct{}), make(chan struct{})
			s := newStart(manual, func() bool { return c.hopeless }, config, entries)
			q := testRequest(t.Context())
			if c.config == 0 {
				close(config)
				close(entries)
			}
			done := make(chan bool)
			go func() { done <- s.await(q.relay.Log) }()
			waits := c.held > 0
			if waits {
				manual.AwaitAlarms(1)
			}
			const step spanrill.Millis = 10
			for now := step; now <= c.held; now += step {
				select {
				case <-done:
					t.Fatalf("answered after %d ms, want %d", now-step, c.held)
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
			if held := <-done; held != waits {
				t.Fatalf("held: %t, want %t", held, waits)
			}
			if since := s.since.Load(); (since != noCaller) != waits {
				t.Fatalf("callers wait since %d", since)
			}
		})
	}
}
