package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"spanrill"
	"spanrill/standin/engine"
	"spanrill/standin/faultproxy"
	"spanrill/standin/platform"
)

// hasInFlight reports whether any daemon has requests in flight at an upstream.
func (f *fleet) hasInFlight(name string) bool {
	for d := range f.daemons {
		s, err := f.status(d)
		if err != nil {
			continue
		}
		for _, u := range s.Upstreams {
			if u.Name == name && u.InFlight > 0 {
				return true
			}
		}
	}
	return false
}

// leaveLimit is the time within which all daemons must stop sending new work to a
// leaving upstream.
const leaveLimit = 3 * time.Second

// An upstream leaves, announced either by its own report while the box list is
// unavailable or by the box list. Within leaveLimit no daemon sends it new work,
// and the answers in progress on it are completed.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(f *fleet)
	}{
		{"by its own report", func(f *fleet) { f.engines["e2a"].SetFaults(engine.Faults{Leaving: true}) }},
		{"by the box list", func(f *fleet) { f.setState("e2a", spanrill.BoxLeaving) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, shape{daemons: 3, enginesPerStage: 2})
			if c.name == "by its own report" {
				f.platform.SetFaults(platform.Faults{BoxesDown: true})
			}
			var wg sync.WaitGroup
			wg.Go(func() {
				if complete := f.askConcurrently(12, 250, nil); complete != 12 {
					t.Errorf("%d of 12 answers that were in progress are complete", complete)
				}
			})
			f.await("e2a has requests in flight", func() bool { return f.hasInFlight("e2a") })
			c.leave(f)
			leaveTime := time.Now()
			f.await("every daemon shows e2a as leaving", func() bool { return f.leavingCount("e2a") == len(f.daemons) })
			if took := time.Since(leaveTime); took > leaveLimit {
				t.Errorf("all daemons show e2a as leaving only after %v", took)
			}
			wg.Wait()
			before := f.requestCount("e2a")
			if complete := f.askConcurrently(24, 10, nil); complete != 24 {
				t.Errorf("%d of 24 later answers are complete", complete)
			}
			if after := f.requestCount("e2a"); after != before {
				t.Errorf("e2a received %d new requests, want none", after-before)
			}
		})
	}
}

// setState changes the state of a box in the box list.
func (f *fleet) setState(name string, state spanrill.BoxState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.boxes {
		if f.boxes[i].Name == name {
			f.boxes[i].State = state
		}
	}
	f.platform.SetBoxes(f.boxes)
}

// leavingCount returns the number of daemons whose status shows an upstream as
// leaving.
func (f *fleet) leavingCount(name string) int {
	n := 0
	for d := range f.daemons {
		s, err := f.status(d)
		if err != nil {
			continue
		}
		for _, u := range s.Upstreams {
			if u.Name == name && u.Leaving {
				n++
			}
		}
	}
	return n
}

// requestCount returns the number of recent requests whose chain contains the
// engine, over all daemons.
func (f *fleet) requestCount(name string) int {
	n := 0
	for d := range f.daemons {
		_, body := get("http://" + f.daemons[d].settings.AdminListen + "/requests")
		n += strings.Count(body, name)
	}
	return n
}

// During a rolling replacement of all daemons under load no request is cut off,
// outcomes are true, and every refusal has a Retry-After.
func TestRollingReplacementCutsNothing(t *testing.T) {
	const daemons = 8
	f := newFleet(t, shape{daemons: daemons, enginesPerStage: 2, services: 2})
	var all []string
	for i := range daemons {
		all = append(all, fmt.Sprintf("d%d", i+1))
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var served, refused atomic.Int64
	var targets atomic.Value // names of the daemons that callers use
	targets.Store(all)
	for w := range 8 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				names := targets.Load().([]string)
				f.sendAndCount(names[(i+w)%len(names)], w, i, &served, &refused)
			}
		})
	}
	for _, name := range all {
		f.signal(name, syscall.SIGTERM)
		targets.Store(without(all, name))
		f.awaitExit(name)
		f.start(name)
		f.await(name+" is ready again and knows its peers", func() bool {
			s, err := f.status(name)
			return err == nil && s.Ready && len(s.Peers) == daemons
		})
		targets.Store(all)
	}
	close(stop)
	wg.Wait()
	if served.Load() < 200 {
		t.Errorf("only %d requests were served, want at least 200 (%d refused)", served.Load(), refused.Load())
	}
}

func without(names []string, name string) []string {
	var remaining []string
	for _, n := range names {
		if n != name {
			remaining = append(remaining, n)
		}
	}
	return remaining
}

// sendAndCount sends a chat or a reading, checks the answer and counts it as
// served or refused.
func (f *fleet) sendAndCount(name string, worker, i int, served, refused *atomic.Int64) {
	if i%2 == 0 {
		id := fmt.Sprintf("r-%d-%d", worker, i)
		a := f.postReading(name, id, "")
		f.checkOutcome(id, a)
		f.countAnswer(a, served, refused)
		return
	}
	c := chat{prompt: fmt.Sprintf("hive %d of %d", i, worker), seed: i, tokens: 20, stream: i%4 == 1}
	text, complete, a := f.ask(name, c)
	if a.status == http.StatusOK && (!complete || text != f.wantText(c)) {
		f.t.Errorf("%s cut off or changed a chat: %q", name, text)
	}
	f.countAnswer(a, served, refused)
}

// countAnswer counts an answer as served or refused. A missing answer and a refusal
// without Retry-After fail the test.
func (f *fleet) countAnswer(a answer, served, refused *atomic.Int64) {
	switch {
	case a.err != nil:
		f.t.Errorf("a request got no answer: %v", a.err)
	case a.status == http.StatusOK:
		served.Add(1)
	case a.header.Get("Retry-After") == "":
		f.t.Errorf("refused with %d and without Retry-After: %s", a.status, a.body)
	default:
		refused.Add(1)
	}
}

// When all engines that hold one layer range fail, another engine is ordered to
// load it, and the model is served again.
func TestLostLayersAreLoadedElsewhere(t *testing.T) {
	f := newFleet(t, shape{daemons: 3, enginesPerStage: 2})
	f.killUpstreams("e2a", "e2b")
	f.await("the model is served again", func() bool {
		_, complete, _ := f.ask("d1", chat{prompt: "hive", seed: 1, tokens: 4})
		return complete
	})
	if n := f.orderCount(); n < 1 || n > 2 {
		t.Errorf("%d orders took effect, want 1 or 2", n)
	}
	if complete := f.askConcurrently(12, 20, nil); complete != 12 {
		t.Errorf("%d of 12 answers are complete", complete)
	}
}

// orderCount returns the number of orders that took effect.
func (f *fleet) orderCount() int {
	n := 0
	for _, e := range f.engines {
		n += len(e.Orders())
	}
	return n
}

// placementHolder returns the daemon that holds the placement lease, and its term.
func (f *fleet) placementHolder() (string, uint64) {
	for name := range f.daemons {
		if s, err := f.status(name); err == nil && s.PlacementTerm > 0 {
			return name, s.PlacementTerm
		}
	}
	return "", 0
}

// The holder of the placement lease is frozen until the lease has expired, and
// then resumed. Another daemon holds the lease with a higher term, and no engine
// accepts an order with the old term.
func TestFrozenLeaseHolderGivesNoOrders(t *testing.T) {
	f := newFleet(t, shape{daemons: 3, enginesPerStage: 2})
	var holder string
	var term uint64
	f.await("a daemon holds the lease", func() bool { holder, term = f.placementHolder(); return holder != "" })
	f.signal(holder, syscall.SIGSTOP)
	f.killUpstreams("e2a", "e2b")
	frozen := f.daemons[holder]
	delete(f.daemons, holder)
	f.awaitLong("another daemon orders the layers", func() bool { return f.orderCount() > 0 })
	f.check(frozen.cmd.Process.Signal(syscall.SIGCONT))
	f.daemons[holder] = frozen
	f.await("the old holder has given up the lease", func() bool {
		s, err := f.status(holder)
		return err == nil && s.PlacementTerm == 0
	})
	for name, e := range f.engines {
		lastTerm := term
		for _, o := range e.Orders() {
			if o.Term <= term || o.Term < lastTerm {
				t.Errorf("%s accepted an order of term %d after term %d", name, o.Term, lastTerm)
			}
			lastTerm = o.Term
		}
	}
}

// awaitLong is await with a limit that allows for the expiry of a lease.
func (f *fleet) awaitLong(condition string, isMet func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(60 * time.Second)
	for !isMet() {
		if time.Now().After(deadline) {
			f.t.Fatalf("condition not met in time: %s", condition)
		}
		<-time.After(50 * time.Millisecond)
	}
}

// While the platform is down, slow or fails every other call, requests are
// served, and afterwards the daemons' calls stay within the platform's rates.
func TestTrafficContinuesDuringPlatformOutage(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults platform.Faults
	}{
		{"down", platform.Faults{Down: true}},
		{"slow", platform.Faults{DelayMillis: 1500}},
		{"every other call fails", platform.Faults{FailEvery: 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, shape{daemons: 4, enginesPerStage: 2, services: 1})
			f.platform.SetFaults(c.faults)
			for i := range 3 {
				if complete := f.askConcurrently(12, 20, nil); complete != 12 {
					t.Errorf("%d of 12 answers are complete", complete)
				}
				if a := f.postReading("d1", fmt.Sprint(i), ""); a.outcome != "ran" {
					t.Errorf("a reading without a key has the outcome %q, want ran", a.outcome)
				}
			}
			f.platform.SetFaults(platform.Faults{})
			f.checkCallRates()
		})
	}
}

// Calls per second that four daemons may make to the platform, apart from box
// lists.
const (
	maxWritesPerSecond = 20
	maxReadsPerSecond  = 60
)

// checkCallRates checks the rates of platform calls over the two seconds after an
// outage. Guards against all daemons catching up at once.
func (f *fleet) checkCallRates() {
	f.t.Helper()
	before := f.platform.Calls()
	<-time.After(2 * time.Second)
	after := f.platform.Calls()
	writes := after.Writes - before.Writes
	reads := after.Reads + after.Watches - before.Reads - before.Watches
	if writes > 2*maxWritesPerSecond || reads > 2*maxReadsPerSecond || after.Limited > 0 {
		f.t.Errorf("%d writes and %d reads in two seconds, %d refused by the rate limit", writes, reads, after.Limited)
	}
}

// Daemons that are partitioned, because the links between them refuse
// connections, keep serving and find each other again afterwards.
func TestPartitionedDaemonsKeepServing(t *testing.T) {
	f := newFleet(t, shape{daemons: 2, enginesPerStage: 1, services: 1, noDaemons: true})
	// Peers reach each daemon through a proxy, whose address is in its box entry.
	peerProxies := map[string]*faultproxy.Proxy{}
	for i := range f.boxes {
		b := &f.boxes[i]
		if b.Role != spanrill.RoleEntry {
			continue
		}
		p := faultproxy.New(b.PeerAddr)
		proxyAddr, err := p.Listen(f.ip + ":0")
		f.check(err)
		t.Cleanup(p.Close)
		peerProxies[b.Name] = p
		b.PeerAddr = proxyAddr
	}
	f.platform.SetBoxes(f.boxes)
	for name := range f.daemons {
		f.daemons[name].settings.PeerAdvertise = f.peerAddr(name)
		f.start(name)
	}
	f.awaitReady(2)
	for _, p := range peerProxies {
		p.SetFaults(faultproxy.Faults{Refuse: true})
		p.CloseConnections()
	}
	f.await("each daemon knows no other daemon", func() bool { return f.peerCount("d1") == 1 && f.peerCount("d2") == 1 })
	revision := f.editAccount(1)
	for name := range f.daemons {
		f.awaitRevision(name, revision)
		f.checkOutcome("parted-"+name, f.postReading(name, "parted-"+name, "k-"+name))
		f.checkOutcome("same", f.postReading(name, "same", "k-same"))
	}
	if f.runCount("same") != 1 {
		t.Errorf("requests with one key ran %d times on partitioned daemons, want once", f.runCount("same"))
	}
	for _, p := range peerProxies {
		p.SetFaults(faultproxy.Faults{})
	}
	f.awaitReady(2)
}

// peerCount returns the number of daemons that a daemon knows, including itself,
// or 0 if it does not answer.
func (f *fleet) peerCount(name string) int {
	s, err := f.status(name)
	if err != nil {
		return 0
	}
	return len(s.Peers)
}

// peerAddr returns the address in the box list at which peers reach a daemon.
func (f *fleet) peerAddr(name string) string {
	for _, b := range f.boxes {
		if b.Name == name {
			return b.PeerAddr
		}
	}
	return ""
}
