package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"spanrill/standin/faultproxy"
	"spanrill/standin/platform"
	"spanrill/standin/service"
)

// checkOutcome compares the outcome that a caller received with the number of runs.
func (f *fleet) checkOutcome(id string, a answer) {
	f.t.Helper()
	runs := f.runCount(id)
	switch {
	case runs > 1:
		f.t.Errorf("%s ran %d times, want at most once", id, runs)
	case a.outcome == "not-run" && runs != 0:
		f.t.Errorf("%s ran, but its outcome is not-run", id)
	case a.outcome == "ran" && runs != 1:
		f.t.Errorf("%s has the outcome ran, but ran %d times, want once", id, runs)
	case a.err == nil && a.outcome == "":
		f.t.Errorf("%s has no outcome: status %d", id, a.status)
	}
}

func TestServiceCallIsNeverSentTwice(t *testing.T) {
	f := newFleet(t, shape{daemons: 2, services: 2})
	for _, c := range []struct {
		name        string
		proxy       faultproxy.Faults
		faults      service.Faults
		wantOutcome string // "" accepts any outcome that agrees with the number of runs
	}{
		{"healthy", faultproxy.Faults{}, service.Faults{}, "ran"},
		{"refused connection", faultproxy.Faults{Refuse: true}, service.Faults{}, ""},
		{"cut within the request", faultproxy.Faults{CutRequestAfter: 60}, service.Faults{}, "unknown"},
		{"cut after the request", faultproxy.Faults{CutBeforeAnswer: true}, service.Faults{}, "unknown"},
		{"cut within the answer", faultproxy.Faults{CutAnswerAfter: 20}, service.Faults{}, "unknown"},
		{"answer lost", faultproxy.Faults{}, service.Faults{LoseAnswers: 100}, "unknown"},
		{"answer too late", faultproxy.Faults{}, service.Faults{DelayMillis: 2500}, "unknown"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f.t = t
			for name := range f.services {
				f.proxies[name].SetFaults(c.proxy)
				f.services[name].SetFaults(c.faults)
			}
			var wg sync.WaitGroup
			for i := range 8 {
				id := fmt.Sprintf("%s-%d", c.name, i)
				wg.Go(func() {
					a := f.postReading(fmt.Sprintf("d%d", 1+i%2), id, "")
					f.checkOutcome(id, a)
					if c.wantOutcome != "" && a.outcome != c.wantOutcome {
						t.Errorf("%s has the outcome %q, want %q", id, a.outcome, c.wantOutcome)
					}
				})
			}
			wg.Wait()
			f.clearServiceFaults()
		})
	}
	f.t = t
}

func (f *fleet) clearServiceFaults() {
	for name := range f.services {
		f.proxies[name].SetFaults(faultproxy.Faults{})
		f.services[name].SetFaults(service.Faults{})
	}
}

// While no upstream can be reached, nothing can have run, and the outcome is
// not-run.
func TestUnreachableServiceIsNotRun(t *testing.T) {
	f := newFleet(t, shape{daemons: 1, services: 1})
	f.proxies["s1"].Close()
	a := f.postReading("d1", "r-1", "")
	if a.outcome != "not-run" || a.header.Get("Retry-After") == "" {
		t.Fatalf("got outcome %q and Retry-After %q, want not-run and a Retry-After", a.outcome, a.header.Get("Retry-After"))
	}
	f.checkOutcome("r-1", a)
}

func TestSameKeyThroughTwoDaemonsRunsOnce(t *testing.T) {
	f := newFleet(t, shape{daemons: 3, services: 2})
	for i := range 20 {
		id := fmt.Sprintf("both-%d", i)
		var wg sync.WaitGroup
		for d := range 3 {
			wg.Go(func() { f.checkOutcome(id, f.postReading(fmt.Sprintf("d%d", d+1), id, "key-"+id)) })
		}
		wg.Wait()
		if f.runCount(id) != 1 {
			t.Errorf("%s ran %d times, want once", id, f.runCount(id))
		}
	}
}

func TestRepeatedKeyGetsTheRecordedOutcome(t *testing.T) {
	f := newFleet(t, shape{daemons: 2, services: 1})
	first := f.postReading("d1", "r-1", "k-1")
	f.await("the outcome is recorded", func() bool {
		a := f.postReading("d2", "r-1", "k-1")
		return a.status == http.StatusOK && string(a.body) == string(first.body) &&
			a.header.Get("Idempotent-Replayed") == "true"
	})
	if f.runCount("r-1") != 1 {
		t.Fatalf("r-1 ran %d times, want once", f.runCount("r-1"))
	}
	if a := f.postReading("d2", "other", "k-1"); a.status != http.StatusUnprocessableEntity || f.runCount("other") != 0 {
		t.Fatalf("another request with the same key: got status %d and %d runs, want 422 and none", a.status, f.runCount("other"))
	}
}

func TestKeyAfterLostAnswerDoesNotRunAgain(t *testing.T) {
	f := newFleet(t, shape{daemons: 2, services: 1})
	f.services["s1"].SetFaults(service.Faults{LoseAnswers: 1})
	if a := f.postReading("d1", "r-1", "k-1"); a.outcome != "unknown" {
		t.Fatalf("outcome %q after a lost answer, want unknown", a.outcome)
	}
	for i := range 4 {
		a := f.postReading(fmt.Sprintf("d%d", 1+i%2), "r-1", "k-1")
		if a.outcome != "unknown" {
			t.Errorf("a repeat has the outcome %q, want unknown", a.outcome)
		}
		f.checkOutcome("r-1", a)
	}
}

func TestKeyAfterKilledDaemonDoesNotRunAgain(t *testing.T) {
	f := newFleet(t, shape{daemons: 3, services: 1})
	f.services["s1"].SetFaults(service.Faults{DelayMillis: 1000})
	answers := make(chan answer, 1)
	go func() { answers <- f.postReading("d1", "r-1", "k-1") }()
	f.await("the call has reached the service", func() bool { return f.runCount("r-1") == 1 })
	f.signal("d1", syscall.SIGKILL)
	if a := <-answers; a.err == nil {
		t.Fatalf("the killed daemon answered with status %d, want no answer", a.status)
	}
	for _, d := range []string{"d2", "d3", "d2"} {
		f.checkOutcome("r-1", f.postReading(d, "r-1", "k-1"))
	}
	if f.runCount("r-1") != 1 {
		t.Fatalf("r-1 ran %d times, want once", f.runCount("r-1"))
	}
}

// While the platform is down, no daemon can tell whether a key was used before.
// Nothing runs, and the outcome is unknown instead of not-run.
func TestKeyDuringPlatformOutageDoesNotRun(t *testing.T) {
	f := newFleet(t, shape{daemons: 2, services: 1})
	f.checkOutcome("before", f.postReading("d1", "before", "k-before"))
	f.platform.SetFaults(platform.Faults{Down: true})
	f.checkOutcome("before", f.postReading("d2", "before", "k-before"))
	for i := range 4 {
		started := time.Now()
		a := f.postReading(fmt.Sprintf("d%d", 1+i%2), "r-1", "k-1")
		if a.outcome != "unknown" || a.header.Get("Retry-After") == "" || f.runCount("r-1") != 0 {
			t.Errorf("outcome %q (status %d) while the platform is down, want unknown, a Retry-After and no run", a.outcome, a.status)
		}
		if took := time.Since(started); took > 2*time.Second {
			t.Errorf("refused only after %v, want within 2 s", took)
		}
	}
	// A call without a key needs no claim and is served.
	if a := f.postReading("d1", "r-2", ""); a.outcome != "ran" {
		t.Errorf("a call without a key has the outcome %q, want ran", a.outcome)
	}
	f.platform.SetFaults(platform.Faults{})
	f.await("the key can be used again", func() bool { return f.postReading("d1", "r-1", "k-1").outcome == "ran" })
	f.checkOutcome("r-1", f.postReading("d2", "r-1", "k-1"))
}

// A claim whose write took effect but whose answer was lost is resolved by
// reading it back, and the call runs once.
func TestClaimWhoseAnswerIsLostRunsOnce(t *testing.T) {
	f := newFleet(t, shape{daemons: 2, services: 1})
	for i := range 6 {
		f.platform.SetFaults(platform.Faults{LoseAnswers: 1})
		id := fmt.Sprintf("r-%d", i)
		f.checkOutcome(id, f.postReading("d1", id, "k-"+id))
		f.checkOutcome(id, f.postReading("d2", id, "k-"+id))
		if f.runCount(id) != 1 {
			t.Errorf("%s ran %d times, want once", id, f.runCount(id))
		}
	}
}

// A daemon that is frozen during a call and resumed later does not send the call
// again, nor does another daemon.
func TestFrozenDaemonDoesNotRepeat(t *testing.T) {
	f := newFleet(t, shape{daemons: 2, services: 1})
	f.services["s1"].SetFaults(service.Faults{DelayMillis: 300})
	answers := make(chan answer, 1)
	go func() { answers <- f.postReading("d1", "r-1", "k-1") }()
	f.await("the call has reached the service", func() bool { return f.runCount("r-1") == 1 })
	f.signal("d1", syscall.SIGSTOP)
	f.checkOutcome("r-1", f.postReading("d2", "r-1", "k-1"))
	f.signal("d1", syscall.SIGCONT)
	f.checkOutcome("r-1", <-answers)
	f.checkOutcome("r-1", f.postReading("d2", "r-1", "k-1"))
	if f.runCount("r-1") != 1 {
		t.Fatalf("r-1 ran %d times, want once", f.runCount("r-1"))
	}
}

// When a daemon is stopped while calls run, each call that is answered has a true
// outcome. A second SIGTERM does not end the daemon before it has drained.
func TestStopDuringCallsReportsTrueOutcomes(t *testing.T) {
	f := newFleet(t, shape{daemons: 2, services: 2})
	for name := range f.services {
		f.services[name].SetFaults(service.Faults{DelayMillis: 50})
	}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for w := range 4 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("r-%d-%d", w, i)
				a := f.postReading("d1", id, "")
				f.checkOutcome(id, a)
				if a.err != nil {
					return // the daemon no longer listens
				}
			}
		})
	}
	f.signal("d1", syscall.SIGTERM)
	f.signal("d1", syscall.SIGTERM)
	f.awaitExit("d1")
	close(stop)
	wg.Wait()
}
