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

// checkOnce compares what a caller was told with what happened.
func (f *fleet) checkOnce(id string, a answer) {
	f.t.Helper()
	runs := f.runs(id)
	switch {
	case runs > 1:
		f.t.Errorf("%s ran %d times", id, runs)
	case a.outcome == "not-run" && runs != 0:
		f.t.Errorf("%s was told not-run and ran", id)
	case a.outcome == "ran" && runs != 1:
		f.t.Errorf("%s was told ran and ran %d times", id, runs)
	case a.err == nil && a.outcome == "":
		f.t.Errorf("%s was told nothing: status %d", id, a.status)
	}
}

func TestServiceCallIsNeverSentTwice(t *testing.T) {
	f := newFleet(t, shape{daemons: 2, services: 2})
	for _, c := range []struct {
		name   string
		proxy  faultproxy.Faults
		faults service.Faults
		told   string // the outcome expected, or "" for any honest one
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
					a := f.post(fmt.Sprintf("d%d", 1+i%2), id, "")
					f.checkOnce(id, a)
					if c.told != "" && a.outcome != c.told {
						t.Errorf("%s was told %q, want %q", id, a.outcome, c.told)
					}
				})
			}
			wg.Wait()
			f.clearServices()
		})
	}
	f.t = t
}

func (f *fleet) clearServices() {
	for name := range f.services {
		f.proxies[name].SetFaults(faultproxy.Faults{})
		f.services[name].SetFaults(service.Faults{})
	}
}

// While no upstream can be reached nothing can have run, and the caller is
// told so.
func TestUnreachableServiceIsNotRun(t *testing.T) {
	f := newFleet(t, shape{daemons: 1, services: 1})
	f.proxies["s1"].Close()
	a := f.post("d1", "r-1", "")
	if a.outcome != "not-run" || a.header.Get("Retry-After") == "" {
		t.Fatalf("told %q, come back %q", a.outcome, a.header.Get("Retry-After"))
	}
	f.checkOnce("r-1", a)
}

func TestSameKeyThroughTwoDaemonsRunsOnce(t *testing.T) {
	f := newFleet(t, shape{daemons: 3, services: 2})
	for i := range 20 {
		id := fmt.Sprintf("both-%d", i)
		var wg sync.WaitGroup
		for d := range 3 {
			wg.Go(func() { f.checkOnce(id, f.post(fmt.Sprintf("d%d", d+1), id, "key-"+id)) })
		}
		wg.Wait()
		if f.runs(id) != 1 {
			t.Errorf("%s ran %d times", id, f.runs(id))
		}
	}
}

func TestRepeatedKeyGetsTheRecordedOutcome(t *testing.T) {
	f := newFleet(t, shape{daemons: 2, services: 1})
	first := f.post("d1", "r-1", "k-1")
	f.await("the outcome is recorded", func() bool {
		a := f.post("d2", "r-1", "k-1")
		return a.status == http.StatusOK && string(a.body) == string(first.body) &&
			a.header.Get("Idempotent-Replayed") == "true"
	})
	if f.runs("r-1") != 1 {
		t.Fatalf("ran %d times", f.runs("r-1"))
	}
	if a := f.post("d2", "other", "k-1"); a.status != http.StatusUnprocessableEntity || f.runs("other") != 0 {
		t.Fatalf("another request with the same key: status %d, %d runs", a.status, f.runs("other"))
	}
}

func TestKeyAfterLostAnswerDoesNotRunAgain(t *testing.T) {
	f := newFleet(t, shape{daemons: 2, services: 1})
	f.services["s1"].SetFaults(service.Faults{LoseAnswers: 1})
	if a := f.post("d1", "r-1", "k-1"); a.outcome != "unknown" {
		t.Fatalf("told %q after a lost answer", a.outcome)
	}
	for i := range 4 {
		a := f.post(fmt.Sprintf("d%d", 1+i%2), "r-1", "k-1")
		if a.outcome != "unknown" {
			t.Errorf("a repeat was told %q", a.outcome)
		}
		f.checkOnce("r-1", a)
	}
}

func TestKeyAfterKilledDaemonDoesNotRunAgain(t *testing.T) {
	f := newFleet(t, shape{daemons: 3, services: 1})
	f.services["s1"].SetFaults(service.Faults{DelayMillis: 1000})
	told := make(chan answer, 1)
	go func() { told <- f.post("d1", "r-1", "k-1") }()
	f.await("the call has reached the service", func() bool { return f.runs("r-1") == 1 })
	f.signal("d1", syscall.SIGKILL)
	if a := <-told; a.err == nil {
		t.Fatalf("the killed daemon answered %d", a.status)
	}
	for _, d := range []string{"d2", "d3", "d2"} {
		f.checkOnce("r-1", f.post(d, "r-1", "k-1"))
	}
	if f.runs("r-1") != 1 {
		t.Fatalf("ran %d times", f.runs("r-1"))
	}
}

// While the platform is out nobody knows whether a key was used before, so that
// nothing runs and nobody is told that it did not.
func TestKeyWhilePlatformIsOutDoesNotRun(t *testing.T) {
	f := newFleet(t, shape{daemons: 2, services: 1})
	f.checkOnce("before", f.post("d1", "before", "k-before"))
	f.platform.SetFaults(platform.Faults{Down: true})
	f.checkOnce("before", f.post("d2", "before", "k-before"))
	for i := range 4 {
		started := time.Now()
		a := f.post(fmt.Sprintf("d%d", 1+i%2), "r-1", "k-1")
		if a.outcome != "unknown" || a.header.Get("Retry-After") == "" || f.runs("r-1") != 0 {
			t.Errorf("told %q (status %d) while the platform is out", a.outcome, a.status)
		}
		if took := time.Since(started); took > 2*time.Second {
			t.Errorf("refused after %v", took)
		}
	}
	// A call without a key needs no claim and goes on.
	if a := f.post("d1", "r-2", ""); a.outcome != "ran" {
		t.Errorf("a call without a key was told %q", a.outcome)
	}
	f.platform.SetFaults(platform.Faults{})
	f.await("the key can be used again", func() bool { return f.post("d1", "r-1", "k-1").outcome == "ran" })
	f.checkOnce("r-1", f.post("d2", "r-1", "k-1"))
}

// A claim whose write took effect while its answer was lost is settled by
// reading, and the call runs once.
func TestClaimWhoseAnswerIsLostRunsOnce(t *testing.T) {
	f := newFleet(t, shape{daemons: 2, services: 1})
	for i := range 6 {
		f.platform.SetFaults(platform.Faults{LoseAnswers: 1})
		id := fmt.Sprintf("r-%d", i)
		f.checkOnce(id, f.post("d1", id, "k-"+id))
		f.checkOnce(id, f.post("d2", id, "k-"+id))
		if f.runs(id) != 1 {
			t.Errorf("%s ran %d times", id, f.runs(id))
		}
	}
}

// A daemon that is frozen in the middle of a call and thawed later neither
// sends it again nor lets another daemon do so.
func TestFrozenDaemonDoesNotRepeat(t *testing.T) {
	f := newFleet(t, shape{daemons: 2, services: 1})
	f.services["s1"].SetFaults(service.Faults{DelayMillis: 300})
	told := make(chan answer, 1)
	go func() { told <- f.post("d1", "r-1", "k-1") }()
	f.await("the call has reached the service", func() bool { return f.runs("r-1") == 1 })
	f.signal("d1", syscall.SIGSTOP)
	f.checkOnce("r-1", f.post("d2", "r-1", "k-1"))
	f.signal("d1", syscall.SIGCONT)
	f.checkOnce("r-1", <-told)
	f.checkOnce("r-1", f.post("d2", "r-1", "k-1"))
	if f.runs("r-1") != 1 {
		t.Fatalf("ran %d times", f.runs("r-1"))
	}
}

// A planned stop while calls run: each is answered, and none is told a lie.
func TestStopDuringCallsIsHonest(t *testing.T) {
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
				a := f.post("d1", id, "")
				f.checkOnce(id, a)
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
