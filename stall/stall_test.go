package stall

import (
	"context"
	"testing"
	"testing/synctest"

	"spanrill"
	"spanrill/clock"
)

// Guards against silence of others that is counted while this process did not read what they sent.
func TestStallsDoNotCountAsSilence(t *testing.T) {
	manual := clock.NewManual()
	m := New(manual)
	m.setDue(interval)
	runOnTime := func(n int) {
		for range n {
			manual.Advance(interval)
			m.check()
		}
	}
	runOnTime(20)
	heardAt := manual.Now()
	runOnTime(4)
	if got := m.Since(heardAt); got != 4*interval {
		t.Fatalf("%d ms since, without a stall, want %d", got, 4*interval)
	}
	manual.Advance(interval + 1900)
	if got := m.Since(heardAt); got != 5*interval {
		t.Errorf("%d ms since, within a stall, want %d", got, 5*interval)
	}
	m.check()
	runOnTime(2)
	if got := m.Since(heardAt); got != 7*interval {
		t.Errorf("%d ms since, after a stall, want %d", got, 7*interval)
	}
	if got := m.Since(manual.Now() - 2*interval); got != 2*interval {
		t.Errorf("%d ms since the stall, want %d", got, 2*interval)
	}
	if m.Total() != 1900 {
		t.Errorf("stalls of %d ms in all, want 1900", m.Total())
	}
	manual.Advance(interval + memory)
	m.check()
	manual.Advance(memory + interval)
	m.check()
	if len(m.stalls) != 1 {
		t.Errorf("%d stalls are kept, want the last one", len(m.stalls))
	}
}

// Guards against a meter that runs before goroutines that were ready earlier, and so measures no stall
// while they wait.
func TestMeterWaitsForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lengths []spanrill.Millis
		manual := clock.NewManual()
		yields := 0
		m := New(manual, WithYield(func() {
			if yields++; yields == 3 {
				manual.Advance(700)
			}
		}), WithOnStall(func(length spanrill.Millis) { lengths = append(lengths, length) }))
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = m.Run(ctx) }()
		for range 5 {
			synctest.Wait()
			manual.Advance(interval)
		}
		synctest.Wait()
		cancel()
		<-m.Done()
		if len(lengths) != 1 || lengths[0] != 700 || m.Total() != 700 {
			t.Errorf("stalls of %v ms, %d in all, want one of 700", lengths, m.Total())
		}
		manual.Advance(10 * spanrill.Second)
		if got := m.Since(manual.Now() - 10*spanrill.Second); got != 10*spanrill.Second {
			t.Errorf("%d ms since after Run has ended, want 10000", got)
		}
	})
}
